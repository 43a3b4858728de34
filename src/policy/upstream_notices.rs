//! What one incarnation of an upstream asked of this node in its answers, for as long as it
//! runs: rest for a time, or no call any more.

use super::upstream_rest::UpstreamRest;

/// What one incarnation of an upstream asked of this node.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct UpstreamNotices {
    pub(crate) rest: UpstreamRest,
    is_leaving: bool,
}

impl UpstreamNotices {
    /// Records that the upstream leaves, which nothing takes back. Returns whether it is
    /// new.
    pub(crate) fn record_leaving(&mut self) -> bool {
        !std::mem::replace(&mut self.is_leaving, true)
    }

    /// Whether the upstream said that it leaves. Calls that run there go on.
    pub(crate) fn is_leaving(&self) -> bool {
        self.is_leaving
    }
}
