use super::*;
use Failure::{Broken, LocalShortage, PeerRefused, Transient, Unexpected, Unreachable};
use Resource::{Addresses, Descriptors, Memory, Route};
use libc::*;
use rstest::rstest;

type ClassificationRow = (Failure, &'static [i32]);

fn row(failure: Failure, errnos: &'static [i32]) -> ClassificationRow {
    (failure, errnos)
}

/// Covers every errno that the manual page of the call lists, and those that TCP returns from it in addition.
#[rstest]
#[case::socket(Call::Socket, &[
    row(Unexpected, &[EACCES, EAFNOSUPPORT, EINVAL, EPROTONOSUPPORT]),
    row(LocalShortage(Descriptors), &[EMFILE, ENFILE]),
    row(LocalShortage(Memory), &[ENOBUFS, ENOMEM, ENOSPC]),
])]
#[case::connect(Call::Connect, &[
    row(Unreachable, &[EACCES, EPERM, ETIMEDOUT, EHOSTUNREACH, EHOSTDOWN, ENONET]),
    row(LocalShortage(Addresses), &[EADDRINUSE, EADDRNOTAVAIL]),
    row(LocalShortage(Memory), &[EAGAIN, ENOBUFS, ENOMEM]),
    row(LocalShortage(Descriptors), &[EMFILE, ENFILE]),
    row(LocalShortage(Route), &[ENETUNREACH, ENETDOWN]),
    row(Transient, &[EALREADY, EINPROGRESS, EINTR]),
    row(PeerRefused, &[ECONNREFUSED, ECONNRESET]),
    row(Unexpected, &[EAFNOSUPPORT, EBADF, EFAULT, EISCONN, ENOTSOCK, EPROTOTYPE, EINVAL]),
])]
#[case::accept(Call::Accept, &[
    row(Transient, &[EAGAIN, ECONNABORTED, EINTR, EPERM, EPROTO, ENETDOWN, ENOPROTOOPT, EHOSTDOWN, ENONET,
        EHOSTUNREACH, EOPNOTSUPP, ENETUNREACH, ETIMEDOUT, ESOCKTNOSUPPORT, EPROTONOSUPPORT]),
    row(LocalShortage(Descriptors), &[EMFILE, ENFILE]),
    row(LocalShortage(Memory), &[ENOBUFS, ENOMEM, ENOSR]),
    row(Unexpected, &[EBADF, EFAULT, EINVAL, ENOTSOCK]),
])]
#[case::read(Call::Read, &[
    row(Transient, &[EAGAIN, EINTR]),
    row(LocalShortage(Memory), &[ENOMEM, ENOBUFS]),
    row(Broken, &[ECONNREFUSED, ECONNRESET, ENOTCONN, EIO, ETIMEDOUT, EHOSTUNREACH, ENETUNREACH, ENETDOWN,
        ENETRESET, EPIPE, EPROTO]),
    row(Unexpected, &[EBADF, EFAULT, EINVAL, EISDIR, ENOTSOCK]),
])]
#[case::write(Call::Write, &[
    row(Transient, &[EAGAIN, EALREADY, EINTR]),
    row(LocalShortage(Memory), &[ENOMEM, ENOBUFS]),
    row(Broken, &[EACCES, ECONNRESET, EIO, ENOTCONN, EPERM, EPIPE, ETIMEDOUT, EHOSTUNREACH, ENETUNREACH, ENETDOWN]),
    row(Unexpected, &[EBADF, EDESTADDRREQ, EDQUOT, EFAULT, EFBIG, EINVAL, EISCONN, EMSGSIZE, ENOSPC, ENOTSOCK,
        EOPNOTSUPP]),
])]
#[case::epoll_wait(Call::EpollWait, &[row(Transient, &[EINTR]), row(Unexpected, &[EBADF, EFAULT, EINVAL])])]
#[case::setsockopt(Call::SetOption, &[
    row(LocalShortage(Memory), &[ENOMEM, ENOBUFS]),
    row(Unexpected, &[EBADF, EFAULT, EINVAL, ENOPROTOOPT, ENOTSOCK]),
])]
#[case::shutdown(Call::Shutdown, &[row(Broken, &[ENOTCONN]), row(Unexpected, &[EBADF, EINVAL, ENOTSOCK])])]
fn errno_is_classified_by_call(#[case] call: Call, #[case] table: &[ClassificationRow]) {
    for (expected, errnos) in table {
        for errno in *errnos {
            let error = io::Error::from_raw_os_error(*errno);
            assert_eq!(Failure::of(call, &error), *expected, "{call:?}: {error}");
        }
    }
}

#[rstest]
#[case::connect_timeout(Call::Connect, io::ErrorKind::TimedOut, Unreachable)]
#[case::end_of_stream(Call::Read, io::ErrorKind::UnexpectedEof, Broken)]
#[case::no_byte_written(Call::Write, io::ErrorKind::WriteZero, Broken)]
#[case::unreadable_line(Call::Read, io::ErrorKind::InvalidData, Broken)]
#[case::unknown(Call::Read, io::ErrorKind::Other, Unexpected)]
fn error_without_errno_is_classified_by_call_and_kind(
    #[case] call: Call,
    #[case] kind: io::ErrorKind,
    #[case] expected: Failure,
) {
    assert_eq!(Failure::of(call, &kind.into()), expected);
}

#[rstest]
#[case(EMFILE, true)]
#[case(ENFILE, true)]
#[case(ENOBUFS, false)]
#[case(ECONNREFUSED, false)]
fn only_emfile_and_enfile_count_as_out_of_descriptors(#[case] errno: i32, #[case] expected: bool) {
    assert_eq!(out_of_descriptors(&io::Error::from_raw_os_error(errno)), expected);
}

#[rstest]
#[case::last_attempt_succeeds(OPTION_ATTEMPTS - 1, true)]
#[case::all_attempts_fail(OPTION_ATTEMPTS, false)]
fn socket_option_is_retried_up_to_attempt_limit(#[case] failures: u32, #[case] expected: bool) {
    let attempts = std::cell::Cell::new(0);
    let set = || {
        attempts.set(attempts.get() + 1);
        if attempts.get() > failures { Ok(()) } else { Err(io::Error::from_raw_os_error(ENOMEM)) }
    };
    assert_eq!(retry_option(set).is_ok(), expected);
}

/// Checks whether the call is retried after the first failure, and after the failure that follows the last confirmation.
#[rstest]
#[case::interrupted(EINTR, true, true)]
#[case::memory(ENOMEM, true, true)]
#[case::reset(ECONNRESET, true, false)]
#[case::programming_error(EBADF, false, false)]
fn broken_connection_is_given_up_after_confirmation(
    #[case] errno: i32,
    #[case] retried_first: bool,
    #[case] retried_last: bool,
) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let mut retries = Retries::of(Call::Read);
    let mut retried = || retries.wait(&stream, io::Error::from_raw_os_error(errno)).is_ok();
    let outcomes: Vec<bool> = (0..=BROKEN_CONFIRMATIONS).map(|_| retried()).collect();
    assert_eq!((outcomes[0], outcomes[BROKEN_CONFIRMATIONS as usize]), (retried_first, retried_last));
}
