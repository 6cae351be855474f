"""Which gateway takes a statement: power of two choices, outlier ejection, slow return. No I/O, no clock."""

FAILURES, EJECT_FIRST, EJECT_LONGEST, RETURN, SAMPLE = 3, 1.0, 30.0, 5.0, 0.1


class _Gateway:
    def __init__(self):
        self.in_flight = self.failures = self.ejections = 0
        self.latency = self.out_until = 0.0


class Choice:
    def __init__(self, count):
        self.gateways = [_Gateway() for _ in range(count)]

    def pick(self, now, dice, not_=None):
        """One of two drawn at random, another than `not_` where there is one; None without any gateway."""
        every = [i for i in range(len(self.gateways)) if i != not_ or len(self.gateways) == 1]
        if not every:
            return None
        well = [i for i in every if self.gateways[i].out_until <= now]
        if not well:
            picked = min(every, key=lambda i: self.gateways[i].out_until)
        elif len(well) == 1:
            picked = well[0]
        else:
            first = min(int(dice[0] * len(well)), len(well) - 1)
            second = min(int(dice[1] * (len(well) - 1)), len(well) - 2)
            second += second >= first
            a, b = well[first], well[second]
            picked = b if self._cost(b, now) < self._cost(a, now) else a
        self.gateways[picked].in_flight += 1
        return picked

    def join(self, which):
        """A statement that another gateway took is asked for here from now on."""
        self.gateways[which].in_flight += 1

    def done(self, which, now, took, good):
        g = self.gateways[which]
        g.in_flight = max(g.in_flight - 1, 0)
        if good:
            g.latency = took if g.latency == 0.0 else g.latency + SAMPLE * (took - g.latency)
            g.failures = 0
            if now > g.out_until + RETURN:
                g.ejections = 0
            return
        g.failures += 1
        if g.failures >= FAILURES:
            g.failures = 0
            g.out_until = now + min(EJECT_FIRST * 2 ** min(g.ejections, 8), EJECT_LONGEST)
            g.ejections += 1

    def is_out(self, which, now):
        return self.gateways[which].out_until > now

    def _cost(self, which, now):
        g = self.gateways[which]
        part = 1.0 if g.out_until == 0.0 else min(max((now - g.out_until) / RETURN, 0.1), 1.0)
        return (g.in_flight + 1) * max(g.latency, 1e-6) / part
