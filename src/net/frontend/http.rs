//! The HTTP/1.1 frontend: `accept` takes connections, `parser` reads requests, `request` serves them one at a time on a
//! connection, `answer`, `error` and `status` make what goes back.

mod accept;
mod answer;
mod error;
mod parser;
mod request;
pub mod status;

pub use accept::listen;
pub use answer::{Answer, rejection};
pub use error::RequestError;
pub use parser::Secret;

#[cfg(test)]
mod tests;
