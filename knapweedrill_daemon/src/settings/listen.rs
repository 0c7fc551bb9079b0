//! The addresses of the process itself.

use std::net::SocketAddr;

use knapweedrill::ini::{IniProblemKind, IniReader};
use knapweedrill_derive::value;

/// The addresses of the process itself.
#[value]
pub struct ListenSettings {
    /// The address of the HTTP interface.
    pub http: SocketAddr,
    /// The address for links to other processes, over TCP, and for heartbeats, over UDP.
    pub link: SocketAddr,
    /// The address at which others reach the HTTP interface, if it is another than `http`.
    pub http_advertised: Option<SocketAddr>,
    /// The address at which others reach `link`, if it is another, as behind address translation.
    pub link_advertised: Option<SocketAddr>,
}

impl ListenSettings {
    pub(super) fn read(reader: &mut IniReader) -> Option<Self> {
        let mut section = reader.section("listen");
        let http = section.address("http");
        let link = section.address("link");
        let http_advertised = section.optional_address("http_advertised");
        let link_advertised = section.optional_address("link_advertised");
        if http.is_some() && http == link {
            section.note(
                "link",
                IniProblemKind::InvalidValue {
                    text: http.map(|address| address.to_string()).unwrap_or_default(),
                    allowed: "an address other than that of http".to_owned(),
                },
            );
        }
        section.finish();
        Some(Self {
            http: http?,
            link: link?,
            http_advertised,
            link_advertised,
        })
    }

    /// Returns the address at which others reach the HTTP interface.
    pub fn reachable_http(&self) -> SocketAddr {
        self.http_advertised.unwrap_or(self.http)
    }

    /// Returns the address at which others reach the links and send heartbeats to.
    pub fn reachable_link(&self) -> SocketAddr {
        self.link_advertised.unwrap_or(self.link)
    }
}
