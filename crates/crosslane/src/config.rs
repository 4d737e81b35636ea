//! Reading of settings files.

use crate::error::Error;
use crosslane_protocol::settings::{Raw, Settings};

/// Reads a text file.
pub fn read(path: &str) -> Result<String, Error> {
    std::fs::read_to_string(path).map_err(|source| Error::File { path: path.to_owned(), source })
}

/// Reads and checks a settings file.
pub fn load(path: &str) -> Result<Settings, Error> {
    let text = read(path)?;
    Ok(Settings::try_from(Raw { file: path, text: &text })?)
}
