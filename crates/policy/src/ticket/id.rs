//! Text form of a ticket, and the code that authenticates its issuer.

use std::fmt;
use std::hash::Hasher;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use siphasher::sip::SipHasher24;

use crate::ids::HostId;
use crate::ids::Incarnation;

/// Secret key that authenticates the tickets of one incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketKey(pub u64, pub u64);

/// An idempotency token that names one submission, which runs at most once.
///
/// Its text form is `host.incarnation.sequence.issued.code`, where `issued` is `issued_ms` and all
/// numbers are hexadecimal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ticket {
    /// Host that issued the ticket.
    pub host: HostId,
    /// Incarnation that issued the ticket. Only the process that holds the right of this
    /// incarnation (see [`TicketTable`](crate::ticket::TicketTable)) may run the submission.
    pub incarnation: Incarnation,
    /// Number of the ticket within the incarnation.
    pub sequence: u64,
    /// Milliseconds between the start of the incarnation and the issue of the ticket.
    pub issued_ms: u64,
    /// SipHash-2-4 of the other fields, keyed with the key of the incarnation.
    pub code: u64,
}

impl Ticket {
    /// Creates a ticket, authenticated with the key of its incarnation.
    pub fn issue(
        host: HostId,
        incarnation: Incarnation,
        sequence: u64,
        issued_ms: u64,
        key: TicketKey,
    ) -> Self {
        let mut ticket = Self { host, incarnation, sequence, issued_ms, code: 0 };
        ticket.code = ticket.expected_code(key);
        ticket
    }

    /// Returns whether the ticket was issued with this key.
    pub fn is_genuine(&self, key: TicketKey) -> bool {
        self.code == self.expected_code(key)
    }

    fn expected_code(&self, key: TicketKey) -> u64 {
        let mut hasher = SipHasher24::new_with_keys(key.0, key.1);
        hasher.write(self.host.as_bytes());
        hasher.write_u64(self.incarnation);
        hasher.write_u64(self.sequence);
        hasher.write_u64(self.issued_ms);
        hasher.finish()
    }
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { host, incarnation, sequence, issued_ms, code } = self;
        write!(f, "{host}.{incarnation:x}.{sequence:x}.{issued_ms:x}.{code:x}")
    }
}

/// Error returned when a text is not a valid ticket.
#[derive(Debug, PartialEq, Eq)]
pub struct TicketParseError;

impl fmt::Display for TicketParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a ticket has the form host.incarnation.sequence.issued.code")
    }
}

impl FromStr for Ticket {
    type Err = TicketParseError;

    fn from_str(text: &str) -> Result<Self, TicketParseError> {
        // Splits from the right, because a host name may contain dots.
        let mut parts = text.rsplitn(5, '.');
        let mut number = || {
            let part = parts.next().ok_or(TicketParseError)?;
            u64::from_str_radix(part, 16).map_err(|_| TicketParseError)
        };
        let code = number()?;
        let issued_ms = number()?;
        let sequence = number()?;
        let incarnation = number()?;
        let host = parts.next().filter(|host| !host.is_empty()).ok_or(TicketParseError)?;
        Ok(Self { host: host.into(), incarnation, sequence, issued_ms, code })
    }
}
