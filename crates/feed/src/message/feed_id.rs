//! The identity of a feed.

use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize};
use thiserror::Error;

/// The maximum length of a feed's identity, in bytes.
pub const MAX_FEED_ID_BYTES: usize = 64;

/// The identity of a feed. Offsets of different feeds can't be compared.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct FeedId(String);

/// The text is not a feed identity, which has 1 to 64 characters of `A-Z a-z 0-9 . _ -`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("a feed's identity is 1 to {MAX_FEED_ID_BYTES} letters, digits, dots, hyphens or underscores")]
pub struct InvalidFeedId;

impl FeedId {
    /// Creates a feed identity after checking the length and the characters.
    ///
    /// # Errors
    /// [`InvalidFeedId`] if the text is not a feed identity.
    pub fn new(id: &str) -> Result<FeedId, InvalidFeedId> {
        let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
        let is_valid = (1..=MAX_FEED_ID_BYTES).contains(&id.len()) && id.bytes().all(is_allowed);
        if is_valid { Ok(FeedId(id.to_owned())) } else { Err(InvalidFeedId) }
    }

    /// The identity as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl<'a> Deserialize<'a> for FeedId {
    fn deserialize<D: Deserializer<'a>>(deserializer: D) -> Result<FeedId, D::Error> {
        let id = String::deserialize(deserializer)?;
        FeedId::new(&id).map_err(D::Error::custom)
    }
}
