//! A TCP proxy that can be cut or go silent, such as between a failure domain and the
//! platform.

use core::net::SocketAddr;
use std::io;

use actix_web::rt::{
    net::{TcpListener, TcpStream},
    spawn,
};
use tokio::{io::copy_bidirectional, net::TcpSocket, sync::watch};

/// The receive buffer towards the target; it is small, so that the target soon notices silence.
const BUFFER_BYTES: u32 = 16 * 1024;

/// The state of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Connections are closed, and new ones are closed once they are accepted.
    Cut,
    /// Connections are forwarded.
    Open,
    /// Connections are accepted but not forwarded; open ones stay silent for good.
    Silent,
}

/// A link to one address.
pub struct Link {
    address: SocketAddr,
    /// None if the state is controlled from elsewhere.
    state: Option<watch::Sender<State>>,
}

impl Link {
    /// Opens a link to an address.
    ///
    /// # Errors
    ///
    /// There is no free port.
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

    /// Opens a link whose state is controlled from elsewhere.
    ///
    /// # Errors
    ///
    /// There is no free port.
    pub async fn follow(target: SocketAddr, states: watch::Receiver<State>) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        spawn(accept(listener, target, states));
        Ok(Self {
            address,
            state: None,
        })
    }

    /// Returns the address at which the link accepts connections.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the base URL of the target over the link.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Sets the state of the link, also for open connections.
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
    // A silent connection stays open at both ends until the link is cut.
    let _cut = states.wait_for(|state| *state == State::Cut).await;
    drop(far);
}

async fn connect(target: SocketAddr) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(BUFFER_BYTES)?;
    socket.connect(target).await
}
