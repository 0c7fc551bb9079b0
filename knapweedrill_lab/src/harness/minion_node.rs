//! Processes of a minion and its sidecar.

use std::net::SocketAddr;

use eyre::Result;

use super::{ChildProcess, EntryApi, LINK_PORT, LinkProxy, http_call};
use crate::stand_in::Accepted;
use crate::stand_in::fault_proxy::StreamProxy;
use crate::stand_in::minion::{MinionControl, StartsResponse};

/// The processes of a minion and its sidecar.
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
    /// Wraps the processes of a minion and its sidecar, without proxies.
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
    pub(super) fn with_proxies(
        mut self,
        link_proxy: Option<LinkProxy>,
        minion_proxy: Option<StreamProxy>,
    ) -> Self {
        self.link_proxy = link_proxy;
        self.minion_proxy = minion_proxy;
        self
    }

    /// Returns the proxies in front of the sidecar's links, or `None` without proxies.
    pub fn link_proxy(&self) -> Option<&LinkProxy> {
        self.link_proxy.as_ref()
    }

    /// Returns the proxy between the sidecar and the minion, or `None` without proxies.
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

    /// Returns the HTTP address of the minion, behind any proxy.
    pub fn minion_address(&self) -> SocketAddr {
        self.minion_address
    }

    /// Returns the address on which the sidecar listens for links, behind any proxy.
    pub fn link_address(&self) -> SocketAddr {
        SocketAddr::new(self.sidecar_address.ip(), LINK_PORT)
    }

    /// Returns a client of the sidecar's HTTP interface.
    pub fn sidecar_api(&self) -> EntryApi {
        EntryApi::new(self.sidecar_address)
    }

    /// Sets how the minion handles further tasks.
    ///
    /// # Errors
    ///
    /// Returns an error if the minion does not accept the request.
    pub fn control(&self, control: MinionControl) -> Result<()> {
        let response = http_call::post_json(self.minion_address, "/control", &control)?;
        response.success_json::<Accepted>().map(|_| ())
    }

    /// Makes the minion announce to its sidecar that it is leaving.
    ///
    /// # Errors
    ///
    /// Returns an error if the minion does not accept the request.
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

    /// Returns the tasks that the minion has started.
    ///
    /// # Errors
    ///
    /// Returns an error if the minion does not respond.
    pub fn starts(&self) -> Result<StartsResponse> {
        http_call::get(self.minion_address, "/starts")?.success_json()
    }
}
