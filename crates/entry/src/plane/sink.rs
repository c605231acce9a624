//! Where the tokens of a streamed answer go.

use core::time::Duration;

use base::Code;
use flow::Answer;
use front::{Frame, Position};
use sha2::{Digest as _, Sha256};
use tokio::{
    sync::{mpsc, oneshot},
    time,
};

/// Tokens that may wait for a slow caller.
const FRAMES: usize = 64;

/// A caller that takes nothing for so long is gone; it can come back with its place.
const SILENCE: Duration = Duration::from_secs(5);

/// What a token meets on its way out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Push {
    /// It went out, or the caller has it already.
    Taken,
    /// The caller is gone, or its connection is silent.
    Gone,
    /// The text differs from what the caller has already.
    Diverged,
}

/// Takes the tokens of one streamed answer to its caller, in order and once each.
pub(crate) struct Sink {
    frames: mpsc::Sender<Frame>,
    opened: Option<oneshot::Sender<()>>,
    resume: Option<Position>,
}

/// The text of a streamed answer, as far as it is known.
#[derive(Clone, Default)]
pub(crate) struct Text {
    pub(crate) count: u64,
    hasher: Sha256,
    pub(crate) whole: String,
}

impl Text {
    /// Adds the next token.
    pub(crate) fn push(&mut self, token: &str) {
        self.count += 1;
        self.hasher.update(token.as_bytes());
        self.whole.push_str(token);
    }

    /// Returns the digest of the text so far.
    pub(crate) fn digest(&self) -> String {
        hex::encode(self.hasher.clone().finalize())
    }
}

impl Sink {
    /// Returns the sink, the signal that the first frame went out, and the frames.
    pub(crate) fn open(
        resume: Option<Position>,
    ) -> (Self, oneshot::Receiver<()>, mpsc::Receiver<Frame>) {
        let (frames, receiver) = mpsc::channel(FRAMES);
        let (opened, opening) = oneshot::channel();
        let sink = Self {
            frames,
            opened: Some(opened),
            resume,
        };
        (sink, opening, receiver)
    }

    /// Takes out the newest token of a text.
    pub(crate) async fn push(&mut self, text: &Text, token: &str) -> Push {
        let position = Position::new(text.count, &text.digest());
        if let Some(resume) = &self.resume
            && text.count <= resume.count
        {
            let same = text.count < resume.count || position == *resume;
            return if same { Push::Taken } else { Push::Diverged };
        }
        let text = token.to_owned();
        self.send(Frame::Token { position, text }).await
    }

    /// Ends the stream; a refusal before the first token is left to be answered whole.
    pub(crate) async fn end(&mut self, answer: Answer, text: &Text) {
        if self.opened.is_some() && answer.code != Code::Answered {
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
        match time::timeout(SILENCE, self.frames.send(frame)).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) | Err(_) => return Push::Gone,
        }
        if let Some(opened) = self.opened.take() {
            // The handler may have gone with its caller.
            let _gone = opened.send(());
        }
        Push::Taken
    }
}
