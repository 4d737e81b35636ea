//! Errors of the commands, each with its exit code.

use crosslane_coordination::program;
use crosslane_platform::store;
use crosslane_protocol::settings;
use crosslane_transport::{http, node};
use derive_more::{Display, Error, From};
use std::io;

/// Exit code for wrong settings or arguments.
pub const USAGE: u8 = 2;

/// Exit code for a node that was replaced.
pub const FENCED: u8 = 3;

/// Why a command failed.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// A file can't be read.
    #[display("{path}: {source}")]
    #[from(skip)]
    File {
        /// Its path.
        path: String,
        /// What the system says.
        source: io::Error,
    },
    /// Settings are wrong.
    Settings(settings::Error),
    /// A policy program is wrong.
    #[display("policy: {_0}")]
    Program(program::Error),
    /// The node can't start.
    Start(node::StartError),
    /// A call failed.
    Call(http::Error),
    /// The platform's settings are wrong.
    SiteSettings(crosslane_platform::settings::Error),
    /// A node that serves through the platform can't run.
    Site(crosslane_gateway::server::Error),
    /// The platform's store can't be read or written.
    Store(store::Error),
    /// The system refused something.
    System(io::Error),
    /// Logs can't be set up.
    #[display("logs: {message}")]
    #[from(skip)]
    Logs {
        /// What the library says.
        message: String,
    },
    /// An argument is wrong.
    #[display("{message}")]
    #[from(skip)]
    Argument {
        /// What is wrong.
        message: String,
    },
    /// What was asked for did not come about.
    #[display("{message}")]
    #[from(skip)]
    Failed {
        /// What happened instead.
        message: String,
    },
}

impl Error {
    /// Exit code.
    pub fn code(&self) -> u8 {
        match self {
            Self::Settings(_) | Self::Argument { .. } | Self::Program(_) => USAGE,
            Self::SiteSettings(_) => USAGE,
            Self::File { .. } => USAGE,
            _ => 1,
        }
    }

    /// Something that did not come about.
    pub fn failed(message: impl Into<String>) -> Self {
        Self::Failed { message: message.into() }
    }
}
