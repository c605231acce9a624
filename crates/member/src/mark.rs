//! Marks of incarnations that were seen leaving.

use base::{Incarnation, Name, Stamp, Tick};

/// The incarnations seen leaving; a mark is never revoked.
#[derive(Clone, Debug, Default)]
pub struct Marks(Vec<Mark>);

#[derive(Clone, Debug)]
struct Mark {
    name: Name,
    /// The latest start that was seen leaving; earlier starts have ended as well.
    start: Stamp,
    /// When that start was marked.
    marked_at: Tick,
    /// When any source last mentioned the name.
    last_named: Tick,
}

impl Marks {
    /// Marks an incarnation, and returns whether the mark is new.
    ///
    /// # Examples
    ///
    /// ```
    /// use base::{Incarnation, Stamp, Tick};
    /// let mut marks = member::mark::Marks::default();
    /// let first = Incarnation::new("runner-1", Stamp::from_millis(1));
    /// let second = Incarnation::new("runner-1", Stamp::from_millis(2));
    /// assert!(marks.add(Tick::default(), &first));
    /// assert!(marks.contains(&first) && !marks.contains(&second));
    /// ```
    pub fn add(&mut self, now: Tick, incarnation: &Incarnation) -> bool {
        match self.find(&incarnation.name) {
            Ok(at) => {
                let mark = &mut self.0[at];
                mark.last_named = now;
                if incarnation.start <= mark.start {
                    return false;
                }
                mark.start = incarnation.start;
                mark.marked_at = now;
                true
            }
            Err(at) => {
                let mark = Mark {
                    name: incarnation.name.clone(),
                    start: incarnation.start,
                    marked_at: now,
                    last_named: now,
                };
                self.0.insert(at, mark);
                true
            }
        }
    }

    /// Returns whether an incarnation was seen leaving.
    pub fn contains(&self, incarnation: &Incarnation) -> bool {
        self.find(&incarnation.name)
            .is_ok_and(|at| incarnation.start <= self.0[at].start)
    }

    /// Returns the latest marks made since an instant, up to a count.
    pub fn recent(&self, since: Tick, count: usize) -> Vec<Incarnation> {
        let mut recent: Vec<&Mark> = self
            .0
            .iter()
            .filter(|mark| mark.marked_at >= since)
            .collect();
        recent.sort_by_key(|mark| core::cmp::Reverse(mark.marked_at));
        let marks = recent.into_iter().take(count);
        marks
            .map(|mark| Incarnation::new(mark.name.clone(), mark.start))
            .collect()
    }

    /// Records that a source mentions a name.
    pub fn record_named(&mut self, now: Tick, name: &Name) {
        if let Ok(at) = self.find(name) {
            self.0[at].last_named = now;
        }
    }

    /// Removes the marks of names that no source has mentioned since an instant.
    pub fn remove_unnamed(&mut self, since: Tick) {
        self.0.retain(|mark| mark.last_named >= since);
    }

    /// Returns the number of marked names.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether no name is marked.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    fn find(&self, name: &Name) -> Result<usize, usize> {
        self.0.binary_search_by(|mark| mark.name.cmp(name))
    }
}
