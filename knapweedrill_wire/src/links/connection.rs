//! The reader and the writer of one connection.

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

/// The length from which the writer adds no more frames to a write, in bytes.
const BATCH_BYTES: usize = 256 << 10;

/// The capacity above which a buffer is given back after use, in bytes.
const BUFFER_KEEP_BYTES: usize = 1 << 20;

/// The time between two probes of the kernel.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// What a process holds of an open connection.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) stream: TcpStream,
    pub(super) queue: Sender<Frame>,
    pub(super) queue_frame_count: usize,
}

impl Connection {
    /// Adds a frame to the queue of the writer; returns whether there was room.
    pub(super) fn try_send(&self, frame: Frame) -> bool {
        if self.queue.len() >= self.queue_frame_count {
            return false;
        }
        // A writer that has ended closes the connection by itself.
        let _ = self.queue.send(frame);
        true
    }

    /// Ends the connection, and with it the reader and the writer.
    pub(super) fn shut_down(&self) {
        // It fails only if the connection has ended already.
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

/// Sets the options that make a dead connection known soon.
pub(super) fn set_up(stream: &TcpStream, settings: &LinkSettings) -> std::io::Result<()> {
    let keepalive = TcpKeepalive::new()
        .with_time(settings.keepalive_idle)
        .with_interval(KEEPALIVE_INTERVAL);
    let socket = SockRef::from(stream);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(settings.user_timeout))
}

/// Reads frames until the connection ends or the other side breaks the framing.
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
        give_back(&mut buffer);
    }
}

fn count_error(error: &CodecError, meter: &LinkMeter) {
    if error.is_malformed() {
        meter.totals.frames_malformed_count.increment();
    }
}

/// Writes the frames of the queue until it is closed or the connection fails.
pub(super) fn write_all(mut stream: &TcpStream, queue: &Receiver<Frame>, meter: &LinkMeter) {
    let mut buffer = Vec::new();
    while let Ok(first) = queue.recv() {
        let Some(frame_count) = fill(&mut buffer, first, queue, meter) else {
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
        give_back(&mut buffer);
    }
}

/// Fills the buffer with what waits, and returns how many frames that is.
fn fill(
    buffer: &mut Vec<u8>,
    first: Frame,
    queue: &Receiver<Frame>,
    meter: &LinkMeter,
) -> Option<usize> {
    add(buffer, &first, meter)?;
    let mut frame_count = 1;
    while buffer.len() < BATCH_BYTES
        && let Ok(frame) = queue.try_recv()
    {
        add(buffer, &frame, meter)?;
        frame_count += 1;
    }
    Some(frame_count)
}

/// Adds a frame to the buffer and counts it.
fn add(buffer: &mut Vec<u8>, frame: &Frame, meter: &LinkMeter) -> Option<()> {
    let before_bytes = buffer.len();
    encode_frame(frame, buffer).ok()?;
    let kind = meter.kind(frame.message.kind());
    kind.frames_sent_count.increment();
    kind.bytes_sent_count.add(buffer.len() - before_bytes);
    Some(())
}

fn give_back(buffer: &mut Vec<u8>) {
    if buffer.capacity() > BUFFER_KEEP_BYTES {
        *buffer = Vec::new();
    }
}
