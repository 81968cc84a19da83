"""Which controller leads a job: the ring of docs/design.md (64 points a controller, XXH64). Only for choosing job ids."""
P1, P2, P3, P4, P5 = 11400714785074694791, 14029467366897019727, 1609587929392839161, 9650029242287828579, 2870177450012600261
M = (1 << 64) - 1


def rol(x, r):
    return ((x << r) | (x >> (64 - r))) & M


def xxh64(data, seed=0):
    def rnd(acc, lane):
        return rol((acc + lane * P2) & M, 31) * P1 & M
    n, i = len(data), 0
    if n >= 32:
        v = [(seed + P1 + P2) & M, (seed + P2) & M, seed, (seed - P1) & M]
        while i <= n - 32:
            for k in range(4):
                v[k] = rnd(v[k], int.from_bytes(data[i:i + 8], "little"))
                i += 8
        h = (rol(v[0], 1) + rol(v[1], 7) + rol(v[2], 12) + rol(v[3], 18)) & M
        for k in range(4):
            h = ((h ^ rnd(0, v[k])) * P1 + P4) & M
    else:
        h = (seed + P5) & M
    h = (h + n) & M
    while i + 8 <= n:
        h = (rol(h ^ rnd(0, int.from_bytes(data[i:i + 8], "little")), 27) * P1 + P4) & M
        i += 8
    if i + 4 <= n:
        h = (rol(h ^ (int.from_bytes(data[i:i + 4], "little") * P1 & M), 23) * P2 + P3) & M
        i += 4
    while i < n:
        h = rol(h ^ (data[i] * P5 & M), 11) * P1 & M
        i += 1
    h = (h ^ (h >> 33)) * P2 & M
    h = (h ^ (h >> 29)) * P3 & M
    return h ^ (h >> 32)


assert xxh64(b"") == 0xEF46DB3751D8E999


def owner(key, names, members):
    points = sorted((xxh64(f"{names[m]}#{i}".encode()), m) for m in members for i in range(64))
    at = xxh64(key.encode())
    return next((m for p, m in points if p >= at), points[0][1])


def job_ids(names, members, first=200000):
    """Job ids with their leader, one after the other."""
    points = sorted((xxh64(f"{names[m]}#{i}".encode()), m) for m in members for i in range(64))
    n = first
    while True:
        n += 1
        at = xxh64(f"job/wk-{n:06d}".encode())
        yield f"wk-{n:06d}", next((m for p, m in points if p >= at), points[0][1])
