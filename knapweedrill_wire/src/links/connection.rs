//! Reader and writer of a connection.

use std::io::{BufReader, Write};
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

use crossbeam::channel::{Receiver, Sender};
use knapweedrill::message::Frame;
use socket2::{SockRef, TcpKeepalive};

use super::LinkSettings;
use crate::codec::{
    CodecError, FIRST_FRAME_LENGTH_MAX_BYTES, FRAME_HEADER_BYTES, FRAME_LENGTH_MAX_BYTES,
    encode_frame, read_frame,
};
use crate::counters::LinkMeter;

/// The length of a batch, in bytes, from which the writer adds no more frames to it.
const BATCH_TARGET_BYTES: usize = 256 << 10;

/// The capacity above which a buffer is deallocated after use, in bytes.
const BUFFER_RETAINED_MAX_BYTES: usize = 1 << 20;

/// The interval between TCP keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// The sending half of an open connection.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) stream: TcpStream,
    pub(super) queue: Sender<Frame>,
    pub(super) queue_frame_count: usize,
}

impl Connection {
    /// Adds a frame to the send queue. Returns `false` if the queue is full.
    pub(super) fn try_send(&self, frame: Frame) -> bool {
        if self.queue.len() >= self.queue_frame_count {
            return false;
        }
        // Fails only if the writer has ended, which closes the connection.
        let _ = self.queue.send(frame);
        true
    }

    /// Shuts the connection down, which ends the reader and the writer.
    pub(super) fn shut_down(&self) {
        // Fails only if the connection is closed already.
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

/// Sets the socket options for low latency and for detection of dead peers.
pub(super) fn set_socket_options(
    stream: &TcpStream,
    settings: &LinkSettings,
) -> std::io::Result<()> {
    let keepalive = TcpKeepalive::new()
        .with_time(settings.keepalive_idle)
        .with_interval(KEEPALIVE_INTERVAL);
    let socket = SockRef::from(stream);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(settings.user_timeout))
}

/// Reads frames until the connection is closed or the peer sends a malformed frame.
pub(super) fn read_all(stream: &TcpStream, meter: &LinkMeter, mut on_frame: impl FnMut(Frame)) {
    let mut reader = BufReader::with_capacity(64 << 10, stream);
    let mut buffer = Vec::new();
    let mut limit_bytes = FIRST_FRAME_LENGTH_MAX_BYTES;
    loop {
        match read_frame(&mut reader, limit_bytes, &mut buffer) {
            Ok(frame) => {
                meter.totals.frames_received_count.increment();
                let kind = meter.kind(frame.message.kind());
                kind.frames_received_count.increment();
                kind.bytes_received_count
                    .add(FRAME_HEADER_BYTES + buffer.len());
                on_frame(frame);
            }
            Err(error) => return count_error(&error, meter),
        }
        limit_bytes = FRAME_LENGTH_MAX_BYTES;
        release_large_buffer(&mut buffer);
    }
}

fn count_error(error: &CodecError, meter: &LinkMeter) {
    if error.is_malformed() {
        meter.totals.frames_malformed_count.increment();
    }
}

/// Writes queued frames until the queue is closed or the connection fails.
pub(super) fn write_all(mut stream: &TcpStream, queue: &Receiver<Frame>, meter: &LinkMeter) {
    let mut buffer = Vec::new();
    while let Ok(first) = queue.recv() {
        let Some(frame_count) = encode_batch(&mut buffer, first, queue, meter) else {
            meter.totals.frames_unsendable_count.increment();
            return;
        };
        if stream.write_all(&buffer).is_err() {
            return;
        }
        meter.totals.writes_count.increment();
        meter.totals.frames_sent_count.add(frame_count);
        meter.totals.bytes_sent_count.add(buffer.len());
        buffer.clear();
        release_large_buffer(&mut buffer);
    }
}

/// Encodes `first` and further queued frames into `buffer`, and returns the number of frames.
///
/// Returns `None` if a frame can't be encoded.
fn encode_batch(
    buffer: &mut Vec<u8>,
    first: Frame,
    queue: &Receiver<Frame>,
    meter: &LinkMeter,
) -> Option<usize> {
    encode_counted(buffer, &first, meter)?;
    let mut frame_count = 1;
    while buffer.len() < BATCH_TARGET_BYTES
        && let Ok(frame) = queue.try_recv()
    {
        encode_counted(buffer, &frame, meter)?;
        frame_count += 1;
    }
    Some(frame_count)
}

/// Encodes a frame into `buffer` and updates the counters of its kind.
fn encode_counted(buffer: &mut Vec<u8>, frame: &Frame, meter: &LinkMeter) -> Option<()> {
    let before_bytes = buffer.len();
    encode_frame(frame, buffer).ok()?;
    let kind = meter.kind(frame.message.kind());
    kind.frames_sent_count.increment();
    kind.bytes_sent_count.add(buffer.len() - before_bytes);
    Some(())
}

fn release_large_buffer(buffer: &mut Vec<u8>) {
    if buffer.capacity() > BUFFER_RETAINED_MAX_BYTES {
        *buffer = Vec::new();
    }
}
