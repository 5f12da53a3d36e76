//! The calls that can fail, and the errors that Linux documents for them.

use libc::{
    EACCES, EADDRINUSE, EADDRNOTAVAIL, EAFNOSUPPORT, ECONNABORTED, ECONNREFUSED, ECONNRESET, EDQUOT, EEXIST,
    EFBIG, EHOSTDOWN, EHOSTUNREACH, EINTR, EIO, EMFILE, ENETDOWN, ENETUNREACH, ENFILE, ENOBUFS, ENOENT,
    ENOMEM, ENONET, ENOPROTOOPT, ENOSPC, EOPNOTSUPP, EPERM, EPIPE, EPROTO, EROFS, ETIMEDOUT,
};

/// A group of system calls that fail alike.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[repr(usize)]
pub enum Call {
    /// `accept`, `accept4` on IP sockets.
    Accept,
    /// `socket` of an IP family.
    Socket,
    /// `connect` on IP sockets.
    Connect,
    /// `read`, `readv`, `recv`, `recvfrom`, `recvmsg` on IP sockets.
    Read,
    /// `write`, `writev`, `send`, `sendto`, `sendmsg` on IP sockets.
    Write,
    /// `epoll_wait`.
    EpollWait,
    /// `setsockopt` on IP sockets.
    SetSocketOption,
    /// `open`, `openat` and their 64-bit forms.
    Open,
    /// `write`, `writev`, `pwrite` on regular files.
    FileWrite,
    /// `fsync`, `fdatasync` on regular files and directories.
    Sync,
    /// `rename`, `renameat`, `renameat2`.
    Rename,
}

impl Call {
    /// How many there are.
    pub const COUNT: usize = 11;

    /// All of them.
    pub const ALL: [Call; Call::COUNT] = [
        Call::Accept,
        Call::Socket,
        Call::Connect,
        Call::Read,
        Call::Write,
        Call::EpollWait,
        Call::SetSocketOption,
        Call::Open,
        Call::FileWrite,
        Call::Sync,
        Call::Rename,
    ];

    /// Its place in tables of the control page.
    pub const fn index(self) -> usize {
        self as usize
    }

    /// Whether it works on a file, so that a path prefix limits it.
    pub const fn is_on_file(self) -> bool {
        matches!(self, Call::Open | Call::FileWrite | Call::Sync | Call::Rename)
    }

    /// Every errno that the manual pages (`accept(2)`, `tcp(7)`, `ip(7)` and so on) list for a correct call; those of
    /// programming errors (EBADF, EFAULT, EINVAL) and EAGAIN are left out.
    pub const fn errnos(self) -> &'static [i32] {
        match self {
            Call::Accept => &[
                ECONNABORTED,
                EINTR,
                EMFILE,
                ENFILE,
                ENOBUFS,
                ENOMEM,
                EPERM,
                EPROTO,
                ENETDOWN,
                ENOPROTOOPT,
                EHOSTDOWN,
                ENONET,
                EHOSTUNREACH,
                EOPNOTSUPP,
                ENETUNREACH,
            ],
            Call::Socket => &[EACCES, EAFNOSUPPORT, EMFILE, ENFILE, ENOBUFS, ENOMEM],
            Call::Connect => &[
                EACCES,
                EPERM,
                EADDRINUSE,
                EADDRNOTAVAIL,
                ECONNREFUSED,
                EINTR,
                ENETUNREACH,
                EHOSTUNREACH,
                ETIMEDOUT,
                ENOBUFS,
                ENOMEM,
            ],
            Call::Read => &[EINTR, ECONNRESET, ECONNREFUSED, ENOMEM, ENOBUFS, ETIMEDOUT, EHOSTUNREACH],
            Call::Write => &[EINTR, ECONNRESET, EPIPE, ENOBUFS, ENOMEM, ETIMEDOUT, EHOSTUNREACH, ENETUNREACH],
            Call::EpollWait => &[EINTR],
            Call::SetSocketOption => &[ENOPROTOOPT, ENOMEM, ENOBUFS, EPERM],
            Call::Open => &[EACCES, EINTR, EMFILE, ENFILE, ENOENT, ENOMEM, ENOSPC, EDQUOT, EROFS, EIO],
            Call::FileWrite => &[EINTR, ENOSPC, EDQUOT, EIO, EFBIG, EPERM],
            Call::Sync => &[EINTR, EIO, ENOSPC, EDQUOT, EROFS],
            Call::Rename => &[EACCES, EDQUOT, EEXIST, ENOMEM, ENOSPC, EROFS, EIO],
        }
    }

    /// Whether Linux can end it with EINTR.
    pub const fn is_interruptible(self) -> bool {
        !matches!(self, Call::Socket | Call::SetSocketOption | Call::Rename)
    }
}
