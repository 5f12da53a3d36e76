//! Replaces functions of the C library by ones that fail as the plan on the control page says.
//!
//! A program loads it by `LD_PRELOAD`. Until the control page is mapped, and without a plan, every call passes. The
//! replaced functions take no locks and allocate nothing, so that they can be called from signal handlers.
#![warn(missing_docs)]

mod clock;
mod control;
mod draw;
mod epoll;
mod errno;
mod files;
mod path;
mod real;
mod sockets;
mod vector;
