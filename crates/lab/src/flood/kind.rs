//! The commands that flooding clients send.

use magpiewell_pg::encode;

/// What a flooding client sends over and over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum FloodKind {
    /// Empty queries, each of which gets an answer of its own.
    EmptyQueries,
    /// Sync messages, likewise.
    Syncs,
    /// Messages of the extended protocol, each followed by a Sync.
    ExtendedQueries,
    /// Messages that are skipped without an answer.
    SkippedMessages,
    /// Statements that can't be parsed.
    UnsoundStatements,
    /// Statements with thousands of attributes of different names.
    ManyAttributes,
    /// Valid ops for a group that no list has named, under new ids and keys.
    UnknownGroups,
    /// Valid ops under new ids and keys.
    ValidOps,
    /// A valid op among empty queries.
    MixedCommands,
}

/// Attributes of a statement of [`FloodKind::ManyAttributes`]: as many as fit into a message.
const ATTRIBUTES: usize = 20_000;

impl FloodKind {
    pub const ALL: [FloodKind; 9] = [
        FloodKind::EmptyQueries,
        FloodKind::Syncs,
        FloodKind::ExtendedQueries,
        FloodKind::SkippedMessages,
        FloodKind::UnsoundStatements,
        FloodKind::ManyAttributes,
        FloodKind::UnknownGroups,
        FloodKind::ValidOps,
        FloodKind::MixedCommands,
    ];

    /// The commands that are written at once.
    pub fn batch_size(self) -> usize {
        match self {
            FloodKind::ManyAttributes => 1,
            _ => 200,
        }
    }

    /// Appends the `number`th command of a client to `bytes`.
    pub fn append_command(self, bytes: &mut Vec<u8>, client: usize, number: u64) {
        match self {
            FloodKind::EmptyQueries => append_query(bytes, ""),
            FloodKind::Syncs => append_message(bytes, b'S', &[]),
            FloodKind::ExtendedQueries => {
                append_message(bytes, b'P', b"\0SELECT 1\0\0\0");
                append_message(bytes, b'S', &[]);
            }
            FloodKind::SkippedMessages => append_message(bytes, b'd', &[]),
            FloodKind::UnsoundStatements => append_query(bytes, "SELECT nonsense"),
            FloodKind::ManyAttributes => append_query(bytes, &statement_with_many_attributes()),
            FloodKind::UnknownGroups => append_query(bytes, &read(client, number, 99)),
            FloodKind::ValidOps => append_query(bytes, &read(client, number, 3)),
            FloodKind::MixedCommands if number.is_multiple_of(10) => {
                append_query(bytes, &read(client, number, 3));
            }
            FloodKind::MixedCommands => append_query(bytes, ""),
        }
    }
}

fn read(client: usize, number: u64, group: u64) -> String {
    format!(
        "SELECT v FROM records WHERE k = 'f{client}-{number}' \
         /* id=flood-{client}-{number},c=look,t=acme,d=320,cluster={group} */"
    )
}

fn statement_with_many_attributes() -> String {
    let attributes: Vec<String> = (0..ATTRIBUTES).map(|number| format!("a{number}=1")).collect();
    format!("SELECT v FROM records WHERE k = 'k' /* {} */", attributes.join(","))
}

fn append_query(bytes: &mut Vec<u8>, text: &str) {
    bytes.extend_from_slice(&encode::query_header(text.len()));
    bytes.extend_from_slice(text.as_bytes());
    bytes.push(0);
}

fn append_message(bytes: &mut Vec<u8>, kind: u8, body: &[u8]) {
    bytes.push(kind);
    bytes.extend_from_slice(&(body.len() as u32 + 4).to_be_bytes());
    bytes.extend_from_slice(body);
}
