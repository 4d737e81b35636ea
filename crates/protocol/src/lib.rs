//! Typed messages of crosslane, checked from raw input.
