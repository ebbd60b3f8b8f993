//! Which errors count as local and which as remote.

use super::*;

#[test]
fn resource_errors_of_this_machine_are_local_and_all_others_remote() {
    for local in [
        ENOMEM,
        ENFILE,
        EMFILE,
        EAGAIN,
        EADDRNOTAVAIL,
        ENETDOWN,
        ENETUNREACH,
        ENOBUFS,
    ] {
        assert_eq!(
            ErrorOrigin::of(&io::Error::from_raw_os_error(local)),
            ErrorOrigin::Local,
            "errno {local}"
        );
    }
    // ECONNABORTED, ECONNRESET, ETIMEDOUT, ECONNREFUSED, EHOSTUNREACH.
    for remote in [103, 104, 110, 111, 113] {
        assert_eq!(
            ErrorOrigin::of(&io::Error::from_raw_os_error(remote)),
            ErrorOrigin::Remote,
            "errno {remote}"
        );
    }
    assert_eq!(
        ErrorOrigin::of(&io::ErrorKind::UnexpectedEof.into()),
        ErrorOrigin::Remote
    );
}
