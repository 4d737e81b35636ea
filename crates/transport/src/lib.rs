//! Sockets, actors and clocks of a crosslane node.
