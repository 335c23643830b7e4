use {
    bytes::{Bytes, BytesMut},
    mulberryshelf::{
        http1::Field,
        refusal::Reason,
        sidecar::{
            document::Number,
            frame::{self, Answer, Frame, Outcome, StreamId},
            load_balancer::Load,
        },
    },
    proptest::prelude::*,
    std::time::Duration,
};

fn read_all(bytes: &[u8]) -> std::io::Result<Vec<Frame>> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .unwrap();
    runtime.block_on(async {
        let (mut io, mut buffer) = (bytes, BytesMut::new());
        let mut frames = Vec::new();
        while let Some(frame) = frame::read(&mut io, &mut buffer).await? {
            frames.push(frame);
        }
        Ok(frames)
    })
}

#[test]
fn frames_are_read_back_in_order() {
    let answer = Answer {
        body: Bytes::from_static(b"crew 7"),
        fields: vec![Field::new("X-A", "b")],
        not_run: false,
        status: 200,
    };
    let frames = vec![
        Frame::Ping(Number::new(12)),
        Frame::Outcome(StreamId(7), Outcome::Answered(answer), Load::default()),
        Frame::Outcome(
            StreamId(8),
            Outcome::Declined(Reason::Overloaded, Duration::from_millis(120)),
            Load::default(),
        ),
        Frame::Cancel(StreamId(9)),
    ];
    let bytes: Vec<u8> = frames
        .iter()
        .flat_map(|frame| frame::encode(frame).unwrap())
        .collect();
    assert_eq!(read_all(&bytes).unwrap(), frames);
    assert!(read_all(&bytes[..bytes.len() - 1]).is_err());
}

#[test]
fn claimed_length_beyond_the_bound_is_refused() {
    assert!(read_all(&[0xff, 0xff, 0xff, 0xff, 0]).is_err());
    assert!(read_all(&[0, 0, 0, 4, 1, 0xff, 0xff, 0xff, 0xff]).is_err());
}

proptest! {
    #[test]
    fn garbage_is_refused_without_a_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let length = u32::try_from(bytes.len()).unwrap().to_be_bytes();
        for compressed in [0, 1] {
            let framed = [&length[..], &[compressed], &bytes].concat();
            // Either result is correct: the test only requires that reading does not panic.
            let _ = read_all(&framed);
        }
    }
}
