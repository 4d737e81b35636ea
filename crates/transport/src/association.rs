//! Association of responses with requests.
//!
//! HTTP/1.1 has no identifier for it: responses come in the order of the requests on their connection (RFC 9112, section 9.2). A surplus
//! response takes the place of the next one, and each after it that of the one that follows. So a response is used only if it carries the
//! id of its request, or if its request is the first on its connection.

use derive_more::Display;
use hyper::HeaderMap;
use hyper::header::{HeaderName, HeaderValue};

/// Id of a request, which its response carries back in the same header.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Id {
    /// Header.
    pub name: HeaderName,
    /// Value, which no other request on the connection has.
    pub value: HeaderValue,
}

impl Id {
    /// Adds the id to the headers of its request.
    pub fn insert(&self, headers: &mut HeaderMap) {
        headers.insert(self.name.clone(), self.value.clone());
    }

    /// How a response is known to belong to the request, which is the first on its connection or not.
    pub fn associate(&self, is_first: bool, response: &HeaderMap) -> Association {
        let mut ids = response.get_all(&self.name).iter();
        match (ids.next(), ids.next()) {
            (Some(id), None) if *id == self.value => Association::Id,
            (None, None) if is_first => Association::Connection,
            _ => Association::Unknown,
        }
    }
}

/// How a response is known to belong to a request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Association {
    /// It carries the id of the request.
    #[display("id")]
    Id,
    /// It carries no id, and no other request was sent on its connection.
    #[display("connection")]
    Connection,
    /// It may belong to another request.
    #[display("unknown")]
    Unknown,
}

impl Association {
    /// Whether the responses to further requests on the connection can be associated too.
    pub fn allows_reuse(self) -> bool {
        self == Self::Id
    }
}
