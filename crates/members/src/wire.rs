//! Binary encoding of the SWIM messages: fixed-size integers, big-endian. A header takes 24 to 34 bytes, a
//! member 13.

use crate::id::MemberId;
use bytes::{Buf, BufMut};
use foca::{Codec, Header, Member, Message, State};
use thiserror::Error;

/// Error in encoding or decoding a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum WireError {
    /// The input ends within a field.
    #[error("message is truncated")]
    Truncated,
    /// The output buffer is full.
    #[error("no space left in the datagram")]
    BufferFull,
    /// A message kind or member state has an unknown value.
    #[error("unknown message kind or member state {0}")]
    UnknownTag(u8),
}

const ID_SIZE: usize = 10;
const MEMBER_SIZE: usize = ID_SIZE + 3;
const HEADER_SIZE: usize = 2 * ID_SIZE + 3;

/// Codec for the messages of `foca`.
#[derive(Clone, Copy, Debug)]
pub struct WireCodec;

fn put_id(id: &MemberId, buf: &mut impl BufMut) {
    buf.put_u16(id.number);
    buf.put_u64(id.start);
}

fn get_id(buf: &mut impl Buf) -> Result<MemberId, WireError> {
    let number = buf.try_get_u16().map_err(|_| WireError::Truncated)?;
    let start = buf.try_get_u64().map_err(|_| WireError::Truncated)?;
    Ok(MemberId { number, start })
}

fn get_u8(buf: &mut impl Buf) -> Result<u8, WireError> {
    buf.try_get_u8().map_err(|_| WireError::Truncated)
}

fn get_u16(buf: &mut impl Buf) -> Result<u16, WireError> {
    buf.try_get_u16().map_err(|_| WireError::Truncated)
}

/// Tag of the message kind, probe number, and the third party that an indirect probe names.
fn message_fields(message: &Message<MemberId>) -> (u8, u8, Option<&MemberId>) {
    match message {
        Message::Ping(n) => (0, *n, None),
        Message::Ack(n) => (1, *n, None),
        Message::PingReq { target, probe_number } => (2, *probe_number, Some(target)),
        Message::IndirectPing { origin, probe_number } => (3, *probe_number, Some(origin)),
        Message::IndirectAck { target, probe_number } => (4, *probe_number, Some(target)),
        Message::ForwardedAck { origin, probe_number } => (5, *probe_number, Some(origin)),
        Message::Announce => (6, 0, None),
        Message::Feed => (7, 0, None),
        Message::Gossip => (8, 0, None),
        Message::Broadcast => (9, 0, None),
        Message::TurnUndead => (10, 0, None),
    }
}

impl Codec<MemberId> for WireCodec {
    type Error = WireError;

    fn encode_header(&mut self, header: &Header<MemberId>, mut buf: impl BufMut) -> Result<(), WireError> {
        let (kind, probe_number, third_party) = message_fields(&header.message);
        if buf.remaining_mut() < HEADER_SIZE + 1 + third_party.map_or(0, |_| ID_SIZE) {
            return Err(WireError::BufferFull);
        }
        put_id(&header.src, &mut buf);
        buf.put_u16(header.src_incarnation);
        put_id(&header.dst, &mut buf);
        buf.put_u8(kind);
        buf.put_u8(probe_number);
        if let Some(third_party) = third_party {
            put_id(third_party, &mut buf);
        }
        Ok(())
    }

    fn decode_header(&mut self, mut buf: impl Buf) -> Result<Header<MemberId>, WireError> {
        let src = get_id(&mut buf)?;
        let src_incarnation = get_u16(&mut buf)?;
        let dst = get_id(&mut buf)?;
        let (kind, probe_number) = (get_u8(&mut buf)?, get_u8(&mut buf)?);
        let message = match kind {
            0 => Message::Ping(probe_number),
            1 => Message::Ack(probe_number),
            2 => Message::PingReq { target: get_id(&mut buf)?, probe_number },
            3 => Message::IndirectPing { origin: get_id(&mut buf)?, probe_number },
            4 => Message::IndirectAck { target: get_id(&mut buf)?, probe_number },
            5 => Message::ForwardedAck { origin: get_id(&mut buf)?, probe_number },
            6 => Message::Announce,
            7 => Message::Feed,
            8 => Message::Gossip,
            9 => Message::Broadcast,
            10 => Message::TurnUndead,
            other => return Err(WireError::UnknownTag(other)),
        };
        Ok(Header { src, src_incarnation, dst, message })
    }

    fn encode_member(&mut self, member: &Member<MemberId>, mut buf: impl BufMut) -> Result<(), WireError> {
        if buf.remaining_mut() < MEMBER_SIZE {
            return Err(WireError::BufferFull);
        }
        put_id(member.id(), &mut buf);
        buf.put_u16(member.incarnation());
        buf.put_u8(match member.state() {
            State::Alive => 0,
            State::Suspect => 1,
            State::Down => 2,
        });
        Ok(())
    }

    fn decode_member(&mut self, mut buf: impl Buf) -> Result<Member<MemberId>, WireError> {
        let (id, incarnation) = (get_id(&mut buf)?, get_u16(&mut buf)?);
        let state = match get_u8(&mut buf)? {
            0 => State::Alive,
            1 => State::Suspect,
            2 => State::Down,
            other => return Err(WireError::UnknownTag(other)),
        };
        Ok(Member::new(id, incarnation, state))
    }
}

/// Whether a message claims to be from gatekeeper `from` and names only gatekeepers of a fleet of
/// `fleet_size`.
pub fn is_valid(data: &[u8], from: u16, fleet_size: u16) -> bool {
    let mut data = data;
    let Ok(header) = WireCodec.decode_header(&mut data) else { return false };
    let (_, _, third_party) = message_fields(&header.message);
    if header.src.number != from {
        return false;
    }
    if [&header.src, &header.dst].into_iter().chain(third_party).any(|id| id.number >= fleet_size) {
        return false;
    }
    // The list of members, if there is one, is preceded by their count.
    if data.has_remaining() && get_u16(&mut data).is_err() {
        return false;
    }
    while data.has_remaining() {
        match WireCodec.decode_member(&mut data) {
            Ok(member) if member.id().number < fleet_size => {}
            _ => return false,
        }
    }
    true
}
