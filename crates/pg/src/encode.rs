//! What a router says, to clients and to hosts; each adds its bytes to a buffer.

fn message(out: &mut Vec<u8>, kind: u8, fill: impl FnOnce(&mut Vec<u8>)) {
    out.push(kind);
    let at = out.len();
    out.extend_from_slice(&[0; 4]);
    fill(out);
    let length = (out.len() - at) as u32;
    out[at..at + 4].copy_from_slice(&length.to_be_bytes());
}

fn text(out: &mut Vec<u8>, text: &str) {
    // A zero byte would end the text early and shift all that follows.
    out.extend(text.bytes().filter(|b| *b != 0));
    out.push(0);
}

/// Ready for the next command.
pub const READY_FOR_QUERY: [u8; 6] = [b'Z', 0, 0, 0, 5, b'I'];

/// Admits a client.
pub fn startup_reply(out: &mut Vec<u8>) {
    message(out, b'R', |m| m.extend_from_slice(&[0; 4]));
    for (name, value) in [
        ("server_version", "16.0"),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("DateStyle", "ISO, MDY"),
        ("integer_datetimes", "on"),
        ("standard_conforming_strings", "on"),
    ] {
        message(out, b'S', |m| {
            text(m, name);
            text(m, value);
        });
    }
    message(out, b'K', |m| m.extend_from_slice(&[0; 8]));
    out.extend_from_slice(&READY_FOR_QUERY);
}

/// Tells that only version 3.0 is spoken here.
pub fn negotiate_protocol_version(out: &mut Vec<u8>) {
    message(out, b'v', |m| m.extend_from_slice(&[0, 3, 0, 0, 0, 0, 0, 0]));
}

pub fn empty_query_response(out: &mut Vec<u8>) {
    message(out, b'I', |_| ());
}

/// An error; `detail` is left out where it is empty.
pub fn error_response(out: &mut Vec<u8>, fatal: bool, code: &str, line: &str, detail: &str) {
    let severity = if fatal { "FATAL" } else { "ERROR" };
    let fields = [(b'S', severity), (b'V', severity), (b'C', code), (b'M', line), (b'D', detail)];
    message(out, b'E', |m| {
        for (letter, value) in fields.into_iter().filter(|(_, value)| !value.is_empty()) {
            m.push(letter);
            text(m, value);
        }
        m.push(0);
    });
}

/// Opens a connection to a host.
pub fn startup_message(out: &mut Vec<u8>, user: &str, database: &str) {
    let at = out.len();
    out.extend_from_slice(&[0, 0, 0, 0, 0, 3, 0, 0]);
    for word in ["user", user, "database", database] {
        text(out, word);
    }
    out.push(0);
    let length = (out.len() - at) as u32;
    out[at..at + 4].copy_from_slice(&length.to_be_bytes());
}

/// What stands before a statement of so many bytes; a zero byte has to follow the statement.
pub fn query_header(length: usize) -> [u8; 5] {
    let [a, b, c, d] = (length as u32 + 5).to_be_bytes();
    [b'Q', a, b, c, d]
}
