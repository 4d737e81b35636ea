//! Reload of the settings file: applies what may change while the node runs, and names the rest in the log.

use crate::event;
use crate::node::Node;
use crosslane_platform::changes::{Changes, Setting};
use crosslane_platform::settings::Settings;
use log::{info, warn};

/// Reads the settings file again. One that can't be used changes nothing.
pub fn run(node: &Node, path: &str) {
    match Settings::read(path) {
        Ok(read) => {
            let Changes { applied, restart } = apply(node, read);
            let (vm, applied, restart) = (&node.settings.vm, names(&applied), names(&restart));
            info!(vm, applied, restart; "{}", event::RELOAD);
        }
        Err(error) => warn!(why:% = error; "{}", event::RELOAD),
    }
}

/// Applies settings that may change while a node runs, if they differ from those in force.
pub fn apply(node: &Node, read: Settings) -> Changes {
    let applied = node.adjustable().changes(&read.adjustable);
    let restart = node.settings.changes(&read.fixed);
    if !applied.is_empty() {
        node.adjust(read.adjustable);
    }
    Changes { applied, restart }
}

fn names(settings: &[Setting]) -> String {
    settings.iter().map(ToString::to_string).collect::<Vec<_>>().join(",")
}
