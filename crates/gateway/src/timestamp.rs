//! Dates and times of day (UTC) in ISO 8601: `2026-12-02T03:00:00Z`.

/// Year, month, day, hour, minute and second of a time in microseconds since the Unix epoch.
pub fn calendar(micros_since_epoch: u64) -> [u64; 6] {
    let seconds = micros_since_epoch / 1_000_000;
    let (days, second_of_day) = (seconds / 86_400, seconds % 86_400);
    // Converts days to a date of the Gregorian calendar, with years starting in March (H. Hinnant,
    // "chrono-compatible dates").
    let z = days + 719_468;
    let (era, doe) = (z / 146_097, z % 146_097);
    let yoe = (doe - doe / 1_460 + doe / 36_524 - doe / 146_096) / 365;
    let doy = doe - (365 * yoe + yoe / 4 - yoe / 100);
    let mp = (5 * doy + 2) / 153;
    let (day, month) = (doy - (153 * mp + 2) / 5 + 1, if mp < 10 { mp + 3 } else { mp - 9 });
    let year = yoe + era * 400 + u64::from(month <= 2);
    [year, month, day, second_of_day / 3600, second_of_day / 60 % 60, second_of_day % 60]
}

/// Formats a time in microseconds since the Unix epoch; milliseconds are shown if they are not zero.
pub fn format(micros_since_epoch: u64) -> String {
    let [year, month, day, hour, minute, second] = calendar(micros_since_epoch);
    let millis = match micros_since_epoch / 1000 % 1000 {
        0 => String::new(),
        millis => format!(".{millis:03}"),
    };
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}{millis}Z")
}

/// Parses this format to microseconds since the Unix epoch; `None` if it is malformed or no date.
pub fn parse(text: &str) -> Option<u64> {
    let (date, time) = text.strip_suffix('Z')?.split_once('T')?;
    let (time, fraction) = time.split_once('.').unwrap_or((time, "0"));
    let number = |text: &str, digits: usize| {
        let valid = text.len() == digits && text.bytes().all(|b| b.is_ascii_digit());
        valid.then(|| text.parse::<u64>().ok()).flatten()
    };
    let three_numbers = |text: &str, separator: char, digits: [usize; 3]| {
        let mut parts = text.split(separator);
        let mut next = |digits| number(parts.next()?, digits);
        let found = [next(digits[0])?, next(digits[1])?, next(digits[2])?];
        parts.next().is_none().then_some(found)
    };
    let [year, month, day] = three_numbers(date, '-', [4, 2, 2])?;
    let [hour, minute, second] = three_numbers(time, ':', [2, 2, 2])?;
    let micros = (1..=6).contains(&fraction.len()).then(|| number(fraction, fraction.len())).flatten()?;
    let micros = micros * 10u64.pow(6 - fraction.len() as u32);
    if year < 1970 || !(1..=12).contains(&month) || hour > 23 || minute > 59 || second > 59 {
        return None;
    }
    let y = year - u64::from(month <= 2);
    let (era, yoe) = (y / 400, y % 400);
    let doy = (153 * ((month + 9) % 12) + 2) / 5 + day.checked_sub(1)?;
    let days = era * 146_097 + yoe * 365 + yoe / 4 - yoe / 100 + doy - 719_468;
    let micros_since_epoch = ((days * 24 + hour) * 60 + minute) * 60_000_000 + second * 1_000_000 + micros;
    // The calculation turns 31 April into 1 May, so the date is compared with the input.
    (calendar(micros_since_epoch)[..3] == [year, month, day]).then_some(micros_since_epoch)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn formatted_times_are_parsed_and_invalid_dates_are_rejected() {
        for (text, at) in [
            ("1970-01-01T00:00:00Z", 0),
            ("2024-02-29T23:59:59Z", 1_709_251_199_000_000),
            ("2026-12-02T03:00:00.250Z", 1_796_180_400_250_000),
        ] {
            assert_eq!((parse(text), format(at).as_str()), (Some(at), text));
        }
        for bad in [
            "",
            "2026-12-02",
            "2026-12-02T03:00:00",
            "2026-02-29T03:00:00Z",
            "2026-13-01T03:00:00Z",
            "2026-12-00T03:00:00Z",
            "2026-12-02T24:00:00Z",
            "26-12-02T03:00:00Z",
            "2026-12-02T03:00:00.Z",
        ] {
            assert_eq!(parse(bad), None, "{bad}");
        }
    }
}
