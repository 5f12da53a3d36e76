//! Request counters that gateways report.

/// Counters of the requests that a gateway process has answered since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// All answered requests.
    pub requests: u64,
    /// Failed requests.
    pub failed: u64,
}

impl RequestCounts {
    /// The difference to an earlier reading, or zero where the earlier reading is greater because it comes from
    /// another process.
    #[must_use]
    pub fn since(self, earlier: RequestCounts) -> RequestCounts {
        RequestCounts {
            requests: self.requests.saturating_sub(earlier.requests),
            failed: self.failed.saturating_sub(earlier.failed),
        }
    }
}
