//! A path between a node and the platform that can go silent.

use hickory_store::http::Address;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// What passes between a node and the platform.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Passage {
    Open,
    /// Connections stay open, nothing passes, and no new one gets through.
    Silent,
}

/// The path between one node and the platform's services.
pub struct Path {
    passage: watch::Sender<Passage>,
}

impl Path {
    pub async fn open(platform: Address) -> (Self, Address) {
        let (passage, _) = watch::channel(Passage::Open);
        let path = Self { passage };
        let near = Address {
            store: path.forward(platform.store).await,
            hosts: path.forward(platform.hosts).await,
            weights: path.forward(platform.weights).await,
        };
        (path, near)
    }

    pub fn set(&self, passage: Passage) {
        self.passage.send_replace(passage);
    }

    /// Forwards connections to `far`; returns where it listens.
    async fn forward(&self, far: SocketAddr) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("it is bound");
        let passage = self.passage.subscribe();
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                tokio::spawn(pass(near, far, passage.clone()));
            }
        });
        address
    }
}

async fn pass(mut near: TcpStream, far: SocketAddr, mut passage: watch::Receiver<Passage>) {
    if passage.wait_for(|passage| *passage == Passage::Open).await.is_err() {
        return;
    }
    let Ok(mut far) = TcpStream::connect(far).await else { return };
    tokio::select! {
        _ = tokio::io::copy_bidirectional(&mut near, &mut far) => return,
        _ = passage.wait_for(|passage| *passage == Passage::Silent) => {}
    }
    // What has lost track of a connection never brings it back: it stays
    // silent for as long as the test runs.
    while passage.changed().await.is_ok() {}
}
