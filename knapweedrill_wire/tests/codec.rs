//! Encoding and decoding of frames and datagrams, including malformed and truncated input.

use std::time::Duration;

use knapweedrill::common::HybridTime;
use knapweedrill::contract::OwnerToken;
use knapweedrill::job::{Failure, Refusal, TaskFailure, TaskId, TaskOutcome};
use knapweedrill::message::{
    AttemptState, Datagram, DatagramBody, EntryHeartbeat, Frame, HandOver, Hello, Message,
    PROTOCOL_VERSION, PeerAddress, ReconciledTask, RetainedKey, RetainedOutcome, Role,
};
use knapweedrill_wire::{
    CodecError, DATAGRAM_LENGTH_MAX_BYTES, FRAME_HEADER_BYTES, FRAME_LENGTH_MAX_BYTES,
    decode_datagram, decode_frame, encode_datagram, encode_frame, read_frame,
};
use proptest::prelude::*;
use test_case::test_case;

fn frame(message: Message) -> Frame {
    Frame {
        session: 3,
        clock: HybridTime::default(),
        message,
    }
}

fn hello() -> Message {
    Message::Hello(Hello {
        protocol_version: PROTOCOL_VERSION,
        incarnation: u64::MAX,
        role: Role::Sidecar,
        name: "s1".into(),
        session: 3,
    })
}

fn hand_over(state: RetainedOutcome) -> Message {
    let token = OwnerToken {
        incarnation: 1,
        generation: 2,
        roster: 3,
    };
    let key = RetainedKey {
        generation: token.generation,
        job: token.job_id("team", "key"),
        content_hash: 4,
        outcome: state,
    };
    Message::HandOver(HandOver {
        from: 1,
        part: 0,
        is_last: true,
        expired_up_to: Some(1),
        keys: vec![key],
    })
}

fn not_run() -> RetainedOutcome {
    RetainedOutcome::NotRun {
        refusal: Refusal::Overloaded,
        retry_after: Some(Duration::from_millis(20)),
    }
}

fn task_lost() -> RetainedOutcome {
    RetainedOutcome::Failed {
        failure: Failure::TaskLost { index: 7 },
    }
}

fn verdicts() -> Message {
    Message::Reconciled(vec![ReconciledTask {
        task: TaskId {
            owner: 1,
            job: 2,
            index: 3,
        },
        attempt: 0,
        state: AttemptState::Ended {
            outcome: TaskOutcome::Failed {
                failure: TaskFailure::Timeout,
            },
            run_time: Duration::from_micros(1),
        },
    }])
}

fn datagram(known: Vec<PeerAddress>) -> Datagram {
    Datagram {
        protocol_version: PROTOCOL_VERSION,
        sender: 1,
        sequence: 2,
        clock: HybridTime::default(),
        configuration: Some(9),
        body: DatagramBody::Entry(EntryHeartbeat {
            own: address(),
            is_stopping: false,
            known,
            answers_for: vec![5],
        }),
    }
}

fn address() -> PeerAddress {
    PeerAddress {
        incarnation: 1,
        name: "e1".into(),
        role: Role::Entry,
        failure_domain: "a".into(),
        link_address: ([127, 0, 0, 1], 1).into(),
        http_address: ([127, 0, 0, 1], 2).into(),
    }
}

#[test_case(hello(); "hello")]
#[test_case(Message::Ping; "ping")]
#[test_case(hand_over(not_run()); "hand over of a job not run")]
#[test_case(hand_over(task_lost()); "hand over of a failed job")]
#[test_case(verdicts(); "verdicts")]
fn frame_round_trips(message: Message) {
    let frame = frame(message);
    let mut bytes = Vec::new();
    encode_frame(&frame, &mut bytes).expect("the frame is short");
    let mut reader = bytes.as_slice();
    let read = read_frame(&mut reader, FRAME_LENGTH_MAX_BYTES, &mut Vec::new());
    assert_eq!(read.expect("the frame was just encoded"), frame);
    assert!(reader.is_empty());
}

#[test]
fn consecutive_frames_are_read_from_one_buffer() {
    let mut bytes = Vec::new();
    encode_frame(&frame(Message::Ping), &mut bytes).expect("the frame is short");
    encode_frame(&frame(Message::Pong), &mut bytes).expect("the frame is short");
    let mut reader = bytes.as_slice();
    for message in [Message::Ping, Message::Pong] {
        let read = read_frame(&mut reader, FRAME_LENGTH_MAX_BYTES, &mut Vec::new());
        assert_eq!(read.expect("both were encoded").message, message);
    }
}

#[test]
fn oversized_frame_is_not_encoded() {
    let results = vec![vec![0; FRAME_LENGTH_MAX_BYTES]];
    let message = hand_over(RetainedOutcome::Complete { results });
    let error = encode_frame(&frame(message), &mut Vec::new());
    assert!(matches!(error, Err(CodecError::Oversized { .. })));
}

#[test]
fn oversized_length_is_rejected_before_the_body_is_read() {
    let header = u32::MAX.to_le_bytes();
    let error = read_frame(
        &mut header.as_slice(),
        FRAME_LENGTH_MAX_BYTES,
        &mut Vec::new(),
    );
    assert!(matches!(error, Err(CodecError::Oversized { .. })));
}

#[test]
fn claimed_length_allocates_no_memory() {
    let header = (FRAME_LENGTH_MAX_BYTES as u32).to_le_bytes();
    let mut buffer = Vec::new();
    let error = read_frame(&mut header.as_slice(), FRAME_LENGTH_MAX_BYTES, &mut buffer);
    assert!(matches!(error, Err(CodecError::Io(_))));
    assert!(buffer.capacity() < 1 << 16);
}

#[test]
fn trailing_bytes_are_rejected() {
    let mut bytes = Vec::new();
    encode_frame(&frame(Message::Ping), &mut bytes).expect("the frame is short");
    bytes.push(0);
    let error = decode_frame(&bytes[FRAME_HEADER_BYTES..]);
    assert!(matches!(
        error,
        Err(CodecError::TrailingBytes { trailing_bytes: 1 })
    ));
}

#[test]
fn datagram_round_trips() {
    let datagram = datagram(vec![address(), address()]);
    let bytes = encode_datagram(&datagram).expect("the datagram is short");
    assert_eq!(decode_datagram(&bytes).expect("just encoded"), datagram);
}

#[test]
fn oversized_datagram_is_not_encoded() {
    let datagram = datagram(vec![address(); DATAGRAM_LENGTH_MAX_BYTES]);
    let error = encode_datagram(&datagram);
    assert!(matches!(error, Err(CodecError::Oversized { .. })));
}

#[test]
fn datagram_of_another_protocol_version_is_rejected() {
    let mut datagram = datagram(Vec::new());
    datagram.protocol_version += 1;
    let bytes = encode_datagram(&datagram).expect("the datagram is short");
    let error = decode_datagram(&bytes);
    assert!(matches!(error, Err(CodecError::Version { .. })));
}

proptest! {
    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = decode_frame(&bytes);
        let _ = decode_datagram(&bytes);
        let _ = read_frame(&mut bytes.as_slice(), FRAME_LENGTH_MAX_BYTES, &mut Vec::new());
    }

    #[test]
    fn truncated_frame_is_an_error(cut in 1_usize..20) {
        let mut bytes = Vec::new();
        encode_frame(&frame(hello()), &mut bytes).expect("the frame is short");
        let end = bytes.len().saturating_sub(cut);
        let read = read_frame(&mut &bytes[..end], FRAME_LENGTH_MAX_BYTES, &mut Vec::new());
        prop_assert!(read.is_err());
    }
}
