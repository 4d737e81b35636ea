//! Streams that go on after they broke off: at no other build than the one that began them.

use crate::exchange::Call;
use crosslane_state::build::Build;

/// Binds a stream to the build at which it begins.
pub fn begin(call: &Call, build: Build) {
    call.build.get_or_init(|| build);
}
