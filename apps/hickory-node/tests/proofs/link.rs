//! A proxy between one node and the platform, which can stop forwarding.

use hickory_store::http::Address;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// How the link handles connections.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    Open,
    /// Connections stay open but forward nothing, and new ones aren't connected.
    Silent,
}

/// The connections between one node and the platform's services.
pub struct Link {
    mode: watch::Sender<Mode>,
}

impl Link {
    pub async fn open(platform: Address) -> (Self, Address) {
        let (mode, _) = watch::channel(Mode::Open);
        let link = Self { mode };
        let near = Address {
            store: link.forward(platform.store).await,
            hosts: link.forward(platform.hosts).await,
            weights: link.forward(platform.weights).await,
        };
        (link, near)
    }

    pub fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }

    /// Forwards connections to `far`; returns the address to connect to.
    async fn forward(&self, far: SocketAddr) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("it is bound");
        let mode = self.mode.subscribe();
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                tokio::spawn(forward_connection(near, far, mode.clone()));
            }
        });
        address
    }
}

async fn forward_connection(mut near: TcpStream, far: SocketAddr, mut mode: watch::Receiver<Mode>) {
    if mode.wait_for(|mode| *mode == Mode::Open).await.is_err() {
        return;
    }
    let Ok(mut far) = TcpStream::connect(far).await else { return };
    tokio::select! {
        _ = tokio::io::copy_bidirectional(&mut near, &mut far) => return,
        _ = mode.wait_for(|mode| *mode == Mode::Silent) => {}
    }
    // A connection that went silent stays silent until the test ends, as with a
    // firewall that has lost its connection state.
    while mode.changed().await.is_ok() {}
}
