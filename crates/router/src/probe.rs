//! What a host reports of itself: the parameters beside its answers, and its usage report.

use magpiewell::Role;

/// The statement of a probe. Its second word is also the name of the parameter that carries the report.
pub const USAGE_QUERY: &[u8] = b"SHOW usage";

/// A host's role and position as one answer reported them; positions are Unix ms.
#[derive(Default)]
pub struct HostStatus {
    pub role: Option<Role>,
    pub position: Option<f64>,
    /// Role and position from the usage report, which may be some time old.
    pub report_role: Option<Role>,
    pub report_position: Option<f64>,
}

impl HostStatus {
    /// Reads a parameter that was sent beside an answer.
    pub fn read_parameter(&mut self, name: &[u8], value: &[u8]) {
        let Ok(value) = std::str::from_utf8(value) else { return };
        // An unreadable value is ignored and doesn't discard one read before.
        match (name, value) {
            (b"server_role", "writer") => self.role = Some(Role::Primary),
            (b"server_role", "reader") => self.role = Some(Role::Replica),
            (b"commit_clock", _) => {
                self.position = value.trim().parse().ok().filter(|ms: &f64| ms.is_finite()).or(self.position);
            }
            (b"usage", _) => self.read_report(value),
            _ => {}
        }
    }

    /// Reads a usage report, a comma-separated list of `name=value`; its position is in seconds.
    pub fn read_report(&mut self, text: &str) {
        for (name, value) in text.split(',').filter_map(|part| part.split_once('=')) {
            let Some(value) = value.trim().parse().ok().filter(|v: &f64| v.is_finite()) else { continue };
            match name.trim() {
                // Rounded down to the next lower value, so that the position is never later than the host's
                // own.
                "x0" => self.report_position = Some((value.next_down() * 1000.0).next_down()),
                "x1" if value >= 0.5 => self.report_role = Some(Role::Primary),
                "x1" => self.report_role = Some(Role::Replica),
                _ => {}
            }
        }
    }
}
