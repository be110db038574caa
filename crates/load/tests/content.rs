//! The content check detects each kind of corruption.

use compact_str::{CompactString, format_compact};
use hickory_load::content::{Check, Fault};

const COUNT: u64 = 4;

fn expected_token(seq: u64) -> CompactString {
    format_compact!(" own{seq}")
}

fn check_tokens(tokens: &[&str], server_count: Option<u64>) -> Result<(), Fault> {
    let mut check = Check::open(COUNT, expected_token);
    tokens.iter().try_for_each(|token| check.token(token))?;
    check.end(server_count)
}

/// Each row: name, received tokens, the server's count, and the expected result.
#[test]
fn each_kind_of_corruption_is_found() {
    type Row<'a> = (&'a str, &'a [&'a str], Option<u64>, Result<(), Fault>);
    let rows: &[Row<'_>] = &[
        ("whole", &[" own0", " own1", " own2", " own3"], Some(4), Ok(())),
        ("whole, no count", &[" own0", " own1", " own2", " own3"], None, Ok(())),
        ("gap", &[" own0", " own2"], None, Err(Fault::Gap { expected: 1, got: 2 })),
        ("first lost", &[" own1"], None, Err(Fault::Gap { expected: 0, got: 1 })),
        ("repeated", &[" own0", " own0"], None, Err(Fault::Repeated { expected: 1, got: 0 })),
        ("crossed", &[" own0", " other1"], None, Err(Fault::Foreign { expected: 1 })),
        ("one byte", &[" own0", " owm1"], None, Err(Fault::Foreign { expected: 1 })),
        ("two in one", &[" own0 own1"], None, Err(Fault::Foreign { expected: 0 })),
        ("empty", &[" own0", ""], None, Err(Fault::Foreign { expected: 1 })),
        (
            "surplus",
            &[" own0", " own1", " own2", " own3", " own4"],
            None,
            Err(Fault::Surplus { count: 4 }),
        ),
        ("short", &[" own0", " own1"], Some(2), Err(Fault::Short { count: 4, got: 2 })),
        ("nothing", &[], None, Err(Fault::Short { count: 4, got: 0 })),
        (
            "miscounted",
            &[" own0", " own1", " own2", " own3"],
            Some(5),
            Err(Fault::Miscounted { told: 5, got: 4 }),
        ),
    ];
    for (name, tokens, server_count, verdict) in rows {
        assert_eq!(check_tokens(tokens, *server_count), *verdict, "{name}");
    }
}

#[test]
fn data_after_the_end_is_rejected() {
    let mut check = Check::open(1, expected_token);
    check.token(" own0").expect("right");
    check.end(None).expect("whole");
    assert_eq!(check.token(" own1"), Err(Fault::AfterEnd));
    assert_eq!(check.end(None), Err(Fault::AfterEnd));
}

/// An answer that isn't streamed arrives as one text.
#[test]
fn unstreamed_text_is_checked_token_by_token() {
    let verdict = |text: &str| {
        let mut check = Check::open(COUNT, expected_token);
        check.text(text).and_then(|()| check.end(None))
    };
    assert_eq!(verdict(" own0 own1 own2 own3"), Ok(()));
    assert_eq!(verdict(" own0 own2 own3"), Err(Fault::Gap { expected: 1, got: 2 }));
    assert_eq!(verdict(" own0 own1 ow"), Err(Fault::Foreign { expected: 2 }));
    assert_eq!(verdict(" own0 own1 öäü3"), Err(Fault::Foreign { expected: 2 }));
    assert_eq!(verdict(" own0"), Err(Fault::Short { count: 4, got: 1 }));
}
