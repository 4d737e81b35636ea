//! Whether a node has lost its way to the endpoints of a service, from how they accept its new connections.
//!
//! Connections that are open already tell nothing: a network partition may let them live while new ones are refused. An endpoint
//! that can't be reached makes its service suspect, since the endpoint may be gone or the node's own links may be. A check of a
//! sample of all endpoints tells: if none can be reached, the way is lost until one is.

use std::collections::HashMap;

/// Endpoints in a sample, or all of a smaller service. If half of them are gone, one check in 256 is wrong, until the next probe.
pub const SAMPLE: usize = 8;

/// State of a service that is not known to be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// An endpoint could not be reached.
    Suspect,
    /// No endpoint of a sample could be reached.
    Lost,
}

/// Services of which an endpoint could not be reached, since one was.
#[derive(Debug, Default)]
pub struct Reach {
    services: HashMap<String, State>,
}

impl Reach {
    /// Records whether an endpoint of a service accepted a new connection.
    pub fn record(&mut self, service: &str, accepted: bool) {
        if accepted {
            self.services.remove(service);
        } else if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), State::Suspect);
        }
    }

    /// Records that no endpoint of a sample accepted a connection. One that did meanwhile outweighs it.
    pub fn record_none_reached(&mut self, service: &str) {
        if let Some(state) = self.services.get_mut(service) {
            *state = State::Lost;
        }
    }

    /// Whether this node has lost its way to a service.
    pub fn is_lost(&self, service: &str) -> bool {
        self.services.get(service) == Some(&State::Lost)
    }

    /// Services that a check of a sample is due for.
    pub fn suspects(&self) -> Vec<String> {
        self.in_state(State::Suspect)
    }

    /// Services that this node has lost its way to.
    pub fn lost(&self) -> Vec<String> {
        self.in_state(State::Lost)
    }

    fn in_state(&self, state: State) -> Vec<String> {
        let services = self.services.iter().filter(|(_, known)| **known == state);
        services.map(|(service, _)| service.clone()).collect()
    }
}
