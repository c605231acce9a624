//! Events of a stream that were read and not yet taken by their caller.

use core::{
    cell::{Cell, RefCell},
    time::Duration,
};
use std::rc::Rc;

use base::Name;
use bytes::{Bytes, BytesMut};
use tokio::{
    sync::Notify,
    task::{self, JoinHandle},
    time,
};

use crate::{Body, Failure, Hub, Transport, hold::Kind, memory::Share};

/// The largest number of bytes that the caller's connection is given at once. It buffers them outside of the budget.
const MAX_TAKEN_BYTES: usize = 16 * 1024;

/// The interval at which a stopped reader looks whether other callers have made room.
const ROOM_INTERVAL: Duration = Duration::from_secs(1);

/// The events of a stream, which a task of its own reads from the server, so that a slow caller doesn't stop the reading.
///
/// The task ends when the queue is dropped, and with it the call to the server.
pub struct Queue<E: Transport> {
    shared: Rc<Shared<E>>,
    task: JoinHandle<()>,
}

struct Shared<E: Transport> {
    hub: Rc<Hub<E>>,
    request: Name,
    bytes: RefCell<BytesMut>,
    share: Share<E>,
    /// How the stream ended, once it has.
    end: Cell<Option<Result<(), Failure>>>,
    /// Notifies the caller of events or the end.
    arrived: Notify,
    /// Notifies the reader that the caller took events.
    taken: Notify,
}

/// Reads the events. A reader that ends in another way than by the end of its stream leaves a broken stream.
struct Reader<E: Transport> {
    shared: Rc<Shared<E>>,
    end: Result<(), Failure>,
}

impl<E: Transport> Drop for Reader<E> {
    fn drop(&mut self) {
        self.shared.end.set(Some(self.end));
        self.shared.arrived.notify_one();
    }
}

impl<E: Transport> Reader<E> {
    async fn run(mut self, mut body: Box<Body<E>>) {
        loop {
            if let Some(pause) = self.wait_for_room().await {
                body.record_pause(pause);
            }
            match body.next().await {
                Ok(Some(events)) => {
                    if let Some(server) = body.server() {
                        self.shared.share.set_server(server);
                    }
                    self.shared.push(&events);
                }
                Ok(None) => {
                    self.end = Ok(());
                    return;
                }
                Err(failure) => {
                    self.end = Err(failure);
                    return;
                }
            }
        }
    }

    /// Waits until the budget allows more of this stream, and returns how long it did not.
    async fn wait_for_room(&self) -> Option<Duration> {
        let shared = &self.shared;
        if shared.share.may_read() {
            return None;
        }
        let since = shared.hub.transport.now();
        let (total, limit) = shared
            .hub
            .with(|state| (state.hold.total(), state.hold.limit()));
        log::debug!(
            target: "relay", request:% = shared.request, bytes = shared.bytes.borrow().len(),
            total = total, limit = limit; "reading stopped for a slow caller"
        );
        while !shared.share.may_read() {
            // Time runs out without news only when other callers made room.
            let _ = time::timeout(ROOM_INTERVAL, shared.taken.notified()).await;
        }
        Some(shared.hub.transport.now() - since)
    }
}

impl<E: Transport> Shared<E> {
    fn push(&self, events: &[u8]) {
        let mut bytes = self.bytes.borrow_mut();
        bytes.extend_from_slice(events);
        self.share.set(bytes.len());
        self.arrived.notify_one();
    }

    fn take(&self) -> Option<Bytes> {
        let mut bytes = self.bytes.borrow_mut();
        if bytes.is_empty() {
            return None;
        }
        let count = bytes.len().min(MAX_TAKEN_BYTES);
        let taken = bytes.split_to(count).freeze();
        if bytes.is_empty() {
            // The allocation goes with the bytes that were taken.
            *bytes = BytesMut::new();
        }
        self.share.set(bytes.len());
        self.taken.notify_one();
        Some(taken)
    }
}

impl<E: Transport> Queue<E> {
    /// Starts to read a stream.
    pub fn spawn(body: Box<Body<E>>) -> Self {
        let shared = Rc::new(Shared {
            hub: body.hub().clone(),
            request: body.request().clone(),
            bytes: RefCell::default(),
            share: Share::open(body.hub(), Kind::Stream),
            end: Cell::new(None),
            arrived: Notify::new(),
            taken: Notify::new(),
        });
        let reader = Reader {
            shared: shared.clone(),
            end: Err(Failure::Broken),
        };
        Self {
            shared,
            task: task::spawn_local(reader.run(body)),
        }
    }

    /// Returns the next bytes of whole events, or none at the end of the stream.
    ///
    /// # Errors
    ///
    /// - As for [`Body::next`], after all events before.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Failure> {
        loop {
            if let Some(taken) = self.shared.take() {
                return Ok(Some(taken));
            }
            if let Some(end) = self.shared.end.get() {
                return end.map(|()| None);
            }
            self.shared.arrived.notified().await;
        }
    }
}

impl<E: Transport> Drop for Queue<E> {
    fn drop(&mut self) {
        self.task.abort();
    }
}
