//! Streams in progress, which can be cancelled by their ids.

#[derive(Default)]
pub(super) struct Streams {
    cancelled: Vec<String>,
    running: Vec<String>,
}

impl Streams {
    pub(super) fn start(&mut self, id: &str) {
        self.cancelled.retain(|other| other != id);
        self.running.push(id.to_owned());
    }

    pub(super) fn finish(&mut self, id: &str) {
        if let Some(index) = self.running.iter().position(|other| other == id) {
            self.running.swap_remove(index);
        }
        self.cancelled.retain(|other| other != id);
    }

    /// Marks a stream as cancelled and returns whether it was running.
    pub(super) fn cancel(&mut self, id: &str) -> bool {
        let running = self.running.iter().any(|other| other == id);
        if running {
            self.cancelled.push(id.to_owned());
        }
        running
    }

    pub(super) fn is_cancelled(&self, id: &str) -> bool {
        self.cancelled.iter().any(|other| other == id)
    }
}
