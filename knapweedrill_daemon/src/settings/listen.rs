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
}

impl ListenSettings {
    pub(super) fn read(reader: &mut IniReader) -> Option<Self> {
        let mut section = reader.section("listen");
        let http = section.address("http");
        let link = section.address("link");
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
        })
    }
}
