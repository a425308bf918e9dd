//! What hosts tell of themselves: the report, and what stands beside answers.

use magpiewell::Role;

/// The statement of a probe, and the name of its report beside answers.
pub const ASK: &[u8] = b"SHOW usage";

/// What an answer told; positions are Unix ms.
#[derive(Default)]
pub struct Told {
    pub role: Option<Role>,
    pub pos: Option<f64>,
    pub report_role: Option<Role>,
    pub report_pos: Option<f64>,
}

impl Told {
    /// A parameter that stands beside an answer.
    pub fn parameter(&mut self, name: &[u8], value: &[u8]) {
        let Ok(value) = std::str::from_utf8(value) else { return };
        // What can't be read is passed over, and does not undo what could.
        match (name, value) {
            (b"server_role", "writer") => self.role = Some(Role::Primary),
            (b"server_role", "reader") => self.role = Some(Role::Replica),
            (b"commit_clock", _) => {
                self.pos = value.trim().parse().ok().filter(|ms: &f64| ms.is_finite()).or(self.pos);
            }
            (b"usage", _) => self.report(value),
            _ => {}
        }
    }

    /// A report, `name=value` between commas: the position is in seconds there.
    pub fn report(&mut self, text: &str) {
        for (name, value) in text.split(',').filter_map(|part| part.split_once('=')) {
            let Some(value) = value.trim().parse().ok().filter(|v: &f64| v.is_finite()) else { continue };
            match name.trim() {
                // The next lower value is surely no later than what the host meant.
                "x0" => self.report_pos = Some((value.next_down() * 1000.0).next_down()),
                "x1" if value >= 0.5 => self.report_role = Some(Role::Primary),
                "x1" => self.report_role = Some(Role::Replica),
                _ => {}
            }
        }
    }
}
