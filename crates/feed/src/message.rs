//! The messages between subscribers and relays: the long poll of the event bus, extended by parameters and fields that
//! a plain bus or subscriber ignores.
//!
//! ```text
//! GET /bus/read?from=N&hold=MS[&feed=ID][&name=NAME&incarnation=N]
//! 200 {"offset":LAST,"batch":[...][,"feed":"ID"][,"age_ms":A][,"snapshot":true]}
//! ```

mod answer;
mod feed_id;
mod poll;

pub use answer::{Answer, Ban, Head, RawEvent};
pub use feed_id::{FeedId, InvalidFeedId, MAX_FEED_ID_BYTES};
pub use poll::{
    Identity, MAX_HOLD_MS, MAX_NAME_BYTES, MAX_QUERY_BYTES, POLL_PATH, ParsePollError, ParsePollErrorKind,
    Poll,
};
