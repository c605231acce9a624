//! Streams in progress, which can be cancelled by their ids.

#[derive(Default)]
pub(super) struct Streams {
    cancelled: Vec<String>,
    running: Vec<String>,
}

impl Streams {
    pub(super) fn begin(&mut self, id: &str) {
        self.cancelled.retain(|known| known != id);
        self.running.push(id.to_owned());
    }

    pub(super) fn end(&mut self, id: &str) {
        if let Some(at) = self.running.iter().position(|known| known == id) {
            self.running.swap_remove(at);
        }
        self.cancelled.retain(|known| known != id);
    }

    /// Marks a stream as cancelled and tells whether it was running.
    pub(super) fn cancel(&mut self, id: &str) -> bool {
        let running = self.running.iter().any(|known| known == id);
        if running {
            self.cancelled.push(id.to_owned());
        }
        running
    }

    pub(super) fn is_cancelled(&self, id: &str) -> bool {
        self.cancelled.iter().any(|known| known == id)
    }
}
