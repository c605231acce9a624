//! Connections to other instances.

use core::{
    net::SocketAddr,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};
use std::io;

use hyper_util::rt::TokioIo;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{self, Sleep},
};
use tonic::{codegen::Service, transport::Uri};

/// A connection that fails when the other end takes no bytes for a time.
///
/// HTTP/2 ends a connection with a frame, and waits until it is written.
#[derive(Debug)]
pub(crate) struct Connection {
    stream: TcpStream,
    write_timeout: Duration,
    /// The end of the timeout while nothing can be written.
    stalled: Option<Pin<Box<Sleep>>>,
}

impl Connection {
    fn check_stall<T>(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            self.stalled = None;
            return written;
        }
        let timeout = self.write_timeout;
        let stalled = self
            .stalled
            .get_or_insert_with(|| Box::pin(time::sleep(timeout)));
        ready!(stalled.as_mut().poll(cx));
        Poll::Ready(Err(io::Error::new(
            io::ErrorKind::TimedOut,
            "the other end takes no bytes",
        )))
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.check_stall(cx, written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        self.check_stall(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

/// Opens connections to an address.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Connector {
    pub(crate) address: SocketAddr,
    /// The time without a written byte after which a connection with bytes to write fails.
    pub(crate) write_timeout: Duration,
}

impl Service<Uri> for Connector {
    type Response = TokioIo<Connection>;
    type Error = io::Error;
    type Future = Pin<Box<dyn Future<Output = io::Result<Self::Response>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, _: Uri) -> Self::Future {
        let Self {
            address,
            write_timeout,
        } = *self;
        Box::pin(async move {
            let stream = TcpStream::connect(address).await?;
            stream.set_nodelay(true)?;
            Ok(TokioIo::new(Connection {
                stream,
                write_timeout,
                stalled: None,
            }))
        })
    }
}
