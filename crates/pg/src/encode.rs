//! Encodes the messages that a router sends to clients and hosts. Each function appends to a buffer.

fn message(out: &mut Vec<u8>, kind: u8, write_body: impl FnOnce(&mut Vec<u8>)) {
    out.push(kind);
    let start = out.len();
    out.extend_from_slice(&[0; 4]);
    write_body(out);
    let length = (out.len() - start) as u32;
    out[start..start + 4].copy_from_slice(&length.to_be_bytes());
}

fn c_string(out: &mut Vec<u8>, text: &str) {
    // A zero byte inside the text would terminate it early and shift all following fields.
    out.extend(text.bytes().filter(|b| *b != 0));
    out.push(0);
}

/// ReadyForQuery, outside a transaction.
pub const READY_FOR_QUERY: [u8; 6] = [b'Z', 0, 0, 0, 5, b'I'];

/// Accepts a client's startup: AuthenticationOk, ParameterStatus messages, BackendKeyData and ReadyForQuery.
pub fn startup_reply(out: &mut Vec<u8>) {
    message(out, b'R', |body| body.extend_from_slice(&[0; 4]));
    for (name, value) in [
        ("server_version", "16.0"),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("DateStyle", "ISO, MDY"),
        ("integer_datetimes", "on"),
        ("standard_conforming_strings", "on"),
    ] {
        message(out, b'S', |body| {
            c_string(body, name);
            c_string(body, value);
        });
    }
    message(out, b'K', |body| body.extend_from_slice(&[0; 8]));
    out.extend_from_slice(&READY_FOR_QUERY);
}

/// NegotiateProtocolVersion: only version 3.0 is supported.
pub fn negotiate_protocol_version(out: &mut Vec<u8>) {
    message(out, b'v', |body| body.extend_from_slice(&[0, 3, 0, 0, 0, 0, 0, 0]));
}

/// EmptyQueryResponse.
pub fn empty_query_response(out: &mut Vec<u8>) {
    message(out, b'I', |_| ());
}

/// ErrorResponse. An empty `detail` is omitted.
pub fn error_response(out: &mut Vec<u8>, fatal: bool, sqlstate: &str, text: &str, detail: &str) {
    let severity = if fatal { "FATAL" } else { "ERROR" };
    let fields = [(b'S', severity), (b'V', severity), (b'C', sqlstate), (b'M', text), (b'D', detail)];
    message(out, b'E', |body| {
        for (letter, value) in fields.into_iter().filter(|(_, value)| !value.is_empty()) {
            body.push(letter);
            c_string(body, value);
        }
        body.push(0);
    });
}

/// StartupMessage of protocol version 3.0, which opens a session with a host.
pub fn startup_message(out: &mut Vec<u8>, user: &str, database: &str) {
    let start = out.len();
    out.extend_from_slice(&[0, 0, 0, 0, 0, 3, 0, 0]);
    for text in ["user", user, "database", database] {
        c_string(out, text);
    }
    out.push(0);
    let length = (out.len() - start) as u32;
    out[start..start + 4].copy_from_slice(&length.to_be_bytes());
}

/// The header of a Query message for a statement of `length` bytes, which the caller appends with a zero
/// byte.
pub fn query_header(length: usize) -> [u8; 5] {
    let [a, b, c, d] = (length as u32 + 5).to_be_bytes();
    [b'Q', a, b, c, d]
}
