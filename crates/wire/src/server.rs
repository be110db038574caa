//! The server side of a link: mutual authentication, then the calls of an authenticated peer.

use crate::codec;
use crate::link::{Handler, make_system};
use crate::message::Adoption;
use crate::peer_capnp::{login, peer};
use crate::proof::{Key, Side, generate_nonce, is_valid_proof};
use capnp_rpc::rpc_twoparty_capnp;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::watch;

/// Serves one connection until the peer closes it or the node closes its links.
pub(crate) async fn serve<H: Handler>(
    stream: TcpStream,
    key: Key,
    handler: H,
    mut closed: watch::Receiver<bool>,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let login = Login { key, handler, nonces: RefCell::default() };
    let login: login::Client = capnp_rpc::new_client(login);
    let system = make_system(stream, rpc_twoparty_capnp::Side::Server, Some(login.client));
    tokio::select! {
        _ = system => {}
        _ = closed.wait_for(|stop| *stop) => {}
    }
}

/// The bootstrap object of a connection, which authenticates both sides.
struct Login<H> {
    key: Key,
    handler: H,
    nonces: RefCell<Option<(Vec<u8>, [u8; 16])>>,
}

impl<H: Handler> login::Server for Login<H> {
    async fn challenge(
        self: Rc<Self>,
        params: login::ChallengeParams,
        mut results: login::ChallengeResults,
    ) -> Result<(), capnp::Error> {
        let client_nonce = params.get()?.get_nonce()?.to_vec();
        let nonce = generate_nonce();
        let proof = self.key.compute_proof(Side::Server, &client_nonce, &nonce);
        results.get().set_nonce(&nonce);
        results.get().set_proof(proof.as_bytes());
        *self.nonces.borrow_mut() = Some((client_nonce, nonce));
        Ok(())
    }

    async fn enter(
        self: Rc<Self>,
        params: login::EnterParams,
        mut results: login::EnterResults,
    ) -> Result<(), capnp::Error> {
        let denied = || capnp::Error::failed("the proof does not match the fleet key".into());
        let (client_nonce, nonce) = self.nonces.borrow_mut().take().ok_or_else(denied)?;
        let expected = self.key.compute_proof(Side::Client, &client_nonce, &nonce);
        if !is_valid_proof(params.get()?.get_proof()?, expected) {
            return Err(denied());
        }
        results.get().set_peer(capnp_rpc::new_client(Peer(self.handler.clone())));
        Ok(())
    }
}

/// The methods that an authenticated peer may call.
struct Peer<H>(H);

impl<H: Handler> peer::Server for Peer<H> {
    async fn exchange(
        self: Rc<Self>,
        params: peer::ExchangeParams,
        mut results: peer::ExchangeResults,
    ) -> Result<(), capnp::Error> {
        let gossip = codec::read_gossip(params.get()?.get_gossip()?)?;
        codec::write_gossip(&self.0.exchange(gossip), results.get().init_gossip());
        Ok(())
    }

    async fn permit(
        self: Rc<Self>,
        params: peer::PermitParams,
        mut results: peer::PermitResults,
    ) -> Result<(), capnp::Error> {
        let permit_request = codec::read_permit_request(params.get()?.get_ask()?)?;
        let answer = self.0.permit(permit_request).await;
        codec::write_answer(&answer, results.get().init_answer());
        Ok(())
    }

    async fn outcome(
        self: Rc<Self>,
        params: peer::OutcomeParams,
        _: peer::OutcomeResults,
    ) -> Result<(), capnp::Error> {
        let outcome = codec::read_outcome(params.get()?.get_outcome()?)?;
        self.0.outcome(outcome);
        Ok(())
    }

    async fn adopt(
        self: Rc<Self>,
        params: peer::AdoptParams,
        mut results: peer::AdoptResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let answer = self.0.adopt(Adoption {
            target: codec::read_text(params.get_target())?.into(),
            stream: codec::read_stream(params.get_stream())?,
            node: codec::read_text(params.get_node())?.into(),
            is_renewal: params.get_keep(),
        });
        codec::write_answer(&answer, results.get().init_answer());
        Ok(())
    }

    async fn release(
        self: Rc<Self>,
        _: peer::ReleaseParams,
        mut results: peer::ReleaseResults,
    ) -> Result<(), capnp::Error> {
        codec::write_document(self.0.configuration().as_ref(), results.get().init_document());
        Ok(())
    }

    async fn owners(
        self: Rc<Self>,
        _: peer::OwnersParams,
        mut results: peer::OwnersResults,
    ) -> Result<(), capnp::Error> {
        codec::write_document(self.0.owners().as_ref(), results.get().init_document());
        Ok(())
    }
}
