//! A minion and the sidecar beside it.

use std::net::SocketAddr;

use eyre::Result;

use super::{ChildProcess, EntryApi, LINK_PORT, LinkProxy, http_call};
use crate::stand_in::Accepted;
use crate::stand_in::fault_proxy::StreamProxy;
use crate::stand_in::minion::{MinionControl, StartsResponse};

/// The processes of a minion and of the sidecar beside it.
#[derive(Debug)]
pub struct MinionNode {
    minion: ChildProcess,
    sidecar: ChildProcess,
    minion_address: SocketAddr,
    sidecar_address: SocketAddr,
    link_proxy: Option<LinkProxy>,
    minion_proxy: Option<StreamProxy>,
}

impl MinionNode {
    /// Wraps the two processes and their HTTP addresses.
    pub fn new(
        minion: ChildProcess,
        minion_address: SocketAddr,
        sidecar: ChildProcess,
        sidecar_address: SocketAddr,
    ) -> Self {
        Self {
            minion,
            sidecar,
            minion_address,
            sidecar_address,
            link_proxy: None,
            minion_proxy: None,
        }
    }

    /// Sets the proxies in front of the sidecar's links and of the minion.
    pub(super) fn proxies(
        mut self,
        link_proxy: Option<LinkProxy>,
        minion_proxy: Option<StreamProxy>,
    ) -> Self {
        self.link_proxy = link_proxy;
        self.minion_proxy = minion_proxy;
        self
    }

    /// Returns the proxies in front of the sidecar's links, if the cluster has proxies.
    pub fn link_proxy(&self) -> Option<&LinkProxy> {
        self.link_proxy.as_ref()
    }

    /// Returns the proxy between the sidecar and the minion, if the cluster has proxies.
    pub fn minion_proxy(&self) -> Option<&StreamProxy> {
        self.minion_proxy.as_ref()
    }

    /// Returns the process of the minion.
    pub fn minion(&mut self) -> &mut ChildProcess {
        &mut self.minion
    }

    /// Returns the process of the sidecar.
    pub fn sidecar(&mut self) -> &mut ChildProcess {
        &mut self.sidecar
    }

    /// Returns the address of the minion.
    pub fn minion_address(&self) -> SocketAddr {
        self.minion_address
    }

    /// Returns the address of the sidecar's links.
    pub fn link_address(&self) -> SocketAddr {
        SocketAddr::new(self.sidecar_address.ip(), LINK_PORT)
    }

    /// Returns the HTTP interface of the sidecar.
    pub fn sidecar_api(&self) -> EntryApi {
        EntryApi::new(self.sidecar_address)
    }

    /// Sets how the minion treats tasks from now on.
    ///
    /// # Errors
    ///
    /// Returns an error if the minion does not accept it.
    pub fn control(&self, control: MinionControl) -> Result<()> {
        let answer = http_call::post_json(self.minion_address, "/control", &control)?;
        answer.success_json::<Accepted>().map(|_| ())
    }

    /// Makes the minion announce that it leaves.
    ///
    /// # Errors
    ///
    /// Returns an error if the minion does not accept it.
    pub fn leave(&self) -> Result<()> {
        let request = http_call::post(
            self.minion_address,
            "/leave",
            String::new(),
            http_call::CALL_TIMEOUT,
        );
        http_call::send(request)?
            .success_json::<Accepted>()
            .map(|_| ())
    }

    /// Returns what the minion ran.
    ///
    /// # Errors
    ///
    /// Returns an error if the minion does not answer.
    pub fn starts(&self) -> Result<StartsResponse> {
        http_call::get(self.minion_address, "/starts")?.success_json()
    }
}
