//! Sends the tokens of a streamed answer to the caller.

use core::time::Duration;

use base::Code;
use flow::Answer;
use front::{Frame, Position};
use sha2::{Digest as _, Sha256};
use tokio::{
    sync::{mpsc, oneshot},
    time,
};

/// The frames that are buffered for a slow caller.
const MAX_BUFFERED_FRAMES: usize = 64;

/// How long a caller may accept nothing before it counts as disconnected; it can resume at its last
/// position.
const SEND_TIMEOUT: Duration = Duration::from_secs(5);

/// The result of sending a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Push {
    /// It was sent, or the caller has it already.
    Sent,
    /// The caller disconnected or accepts no data.
    CallerGone,
    /// The text differs from what the caller has already.
    Diverged,
}

/// Sends the tokens of one streamed answer to its caller, in order and once each.
pub(crate) struct Sink {
    frames: mpsc::Sender<Frame>,
    first_sent: Option<oneshot::Sender<()>>,
    resume: Option<Position>,
}

/// The text of a streamed answer so far.
#[derive(Clone, Default)]
pub(crate) struct Text {
    pub(crate) count: u64,
    hasher: Sha256,
    pub(crate) full: String,
}

impl Text {
    /// Adds the next token.
    pub(crate) fn push(&mut self, token: &str) {
        self.count += 1;
        self.hasher.update(token.as_bytes());
        self.full.push_str(token);
    }

    /// Returns the digest of the text so far.
    pub(crate) fn digest(&self) -> String {
        hex::encode(self.hasher.clone().finalize())
    }
}

impl Sink {
    /// Returns the sink, a signal that the first frame was sent, and the frames.
    pub(crate) fn new(
        resume: Option<Position>,
    ) -> (Self, oneshot::Receiver<()>, mpsc::Receiver<Frame>) {
        let (frames, receiver) = mpsc::channel(MAX_BUFFERED_FRAMES);
        let (first_sent, first_sent_receiver) = oneshot::channel();
        let sink = Self {
            frames,
            first_sent: Some(first_sent),
            resume,
        };
        (sink, first_sent_receiver, receiver)
    }

    /// Sends the newest token of a text.
    pub(crate) async fn push(&mut self, text: &Text, token: &str) -> Push {
        let position = Position::new(text.count, &text.digest());
        if let Some(resume) = &self.resume
            && text.count <= resume.count
        {
            let is_same = text.count < resume.count || position == *resume;
            return if is_same { Push::Sent } else { Push::Diverged };
        }
        let text = token.to_owned();
        self.send(Frame::Token { position, text }).await
    }

    /// Ends the stream; a refusal before the first token is sent as a complete answer instead.
    pub(crate) async fn finish(&mut self, answer: Answer, text: &Text) {
        if self.first_sent.is_some() && answer.code != Code::Answered {
            return;
        }
        let end = Frame::End {
            answer,
            count: text.count,
            digest: text.digest(),
        };
        self.send(end).await;
    }

    async fn send(&mut self, frame: Frame) -> Push {
        match time::timeout(SEND_TIMEOUT, self.frames.send(frame)).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) | Err(_) => return Push::CallerGone,
        }
        if let Some(first_sent) = self.first_sent.take() {
            // The handler is dropped if the caller disconnects.
            let _dropped = first_sent.send(());
        }
        Push::Sent
    }
}
