//! A connection path that can be cut or go silent, such as that of a failure domain to the
//! platform.

use core::net::SocketAddr;
use std::io;

use actix_web::rt::{
    net::{TcpListener, TcpStream},
    spawn,
};
use tokio::{io::copy_bidirectional, net::TcpSocket, sync::watch};

/// What a path holds of what its target sends, so that silence is soon felt.
const BUFFER_BYTES: u32 = 16 * 1024;

/// What a path does with connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It closes them and takes no new ones.
    Cut,
    /// It carries them.
    Open,
    /// It takes them and carries nothing; those it has then stay silent for good.
    Silent,
}

/// A path to one address.
pub struct Link {
    address: SocketAddr,
    /// None where something else decides for the path.
    state: Option<watch::Sender<State>>,
}

impl Link {
    /// Opens a path to an address.
    ///
    /// # Errors
    ///
    /// No port is free.
    ///
    /// # Examples
    ///
    /// ```
    /// # actix_web::rt::System::new().block_on(async {
    /// let link = proc::link::Link::open("127.0.0.1:9".parse().unwrap()).await.unwrap();
    /// link.set(proc::link::State::Cut);
    /// # });
    /// ```
    pub async fn open(target: SocketAddr) -> io::Result<Self> {
        let (state, states) = watch::channel(State::Open);
        let link = Self::follow(target, states).await?;
        Ok(Self {
            state: Some(state),
            ..link
        })
    }

    /// Opens a path that does as it is told from elsewhere.
    ///
    /// # Errors
    ///
    /// No port is free.
    pub async fn follow(target: SocketAddr, states: watch::Receiver<State>) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        spawn(accept(listener, target, states));
        Ok(Self {
            address,
            state: None,
        })
    }

    /// Returns the address by which the target is reached over the path.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the base URL by which the target is reached over the path.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Changes what the path does, also with the connections that it has.
    pub fn set(&self, state: State) {
        if let Some(sender) = &self.state {
            sender.send_replace(state);
        }
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, mut states: watch::Receiver<State>) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            closed = states.changed() => match closed {
                Ok(()) => continue,
                Err(_) => return,
            },
        };
        if let Ok((stream, _)) = accepted {
            spawn(carry(stream, target, states.clone()));
        }
    }
}

async fn carry(mut near: TcpStream, target: SocketAddr, mut states: watch::Receiver<State>) {
    let state = *states.borrow_and_update();
    let mut far = None;
    if state == State::Open
        && let Ok(connected) = connect(target).await
    {
        let far = far.insert(connected);
        tokio::select! {
            _ = copy_bidirectional(&mut near, far) => return,
            _ = states.wait_for(|state| *state != State::Open) => {}
        }
    }
    // A silent connection stays as it is, at both ends, until the path is cut.
    let _cut = states.wait_for(|state| *state == State::Cut).await;
    drop(far);
}

async fn connect(target: SocketAddr) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(BUFFER_BYTES)?;
    socket.connect(target).await
}
