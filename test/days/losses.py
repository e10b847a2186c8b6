"""Says where the worth of a day was lost, from what `fleetbench run` printed.

    fleetbench run SITE DAY ... > day.txt; python3 test/days/losses.py day.txt...

The table sums to 1 - worth: each part of the credit with its weight, split over the rows of
two seconds (of the whole day and the worst windows), kinds of requests or zones in which it
was lost, and the prices. A row in which much was lost names what was disturbed meanwhile.
"""

import re
import sys

NOTABLE = 0.02  # of a row's worth lost, from which on it is shown alone


def table(text, title):
    """Returns the rows of the table whose head begins with the title, as lists of words."""
    rows, found = [], False
    for line in text.splitlines():
        if line.startswith(title):
            found = True
        elif found and not line.strip():
            break
        elif found:
            rows.append(line.split())
    return rows


def parts(text):
    """Returns the weighted parts of the credit by their names, as (part, weight), and the worth."""
    line = re.search(r"^worth ([0-9.]+) = (.*) less prices", text, re.M)
    found = re.findall(r"([a-z ]+) (-?[0-9.]+) \(weight ([0-9.]+)\)", line[2])
    return {name.strip(): (float(part), float(weight)) for name, part, weight in found}, float(line[1])


def prices(text):
    found = re.findall(r"^  -(-?[0-9.]+)  (-?[0-9.]+) (.+)$", text, re.M)
    return {name: float(price) for price, _, name in found if float(price) > 0}


def disturbances(text):
    """Returns what happened, as (from, to, what)."""
    found = re.findall(r"^ +([0-9.]+) s to +([0-9.]+) s  (\S+(?: \([^)]*\))?)", text, re.M)
    return [(float(begin), float(end), what) for begin, end, what in found]


def rows_of(text):
    """Returns the rows of two seconds as (second, asked, worth)."""
    return [(int(row[0]), int(row[1]), float(row[7])) for row in table(text, "from second")]


def shares(rows):
    """Returns each row's share of what all rows lost."""
    lost = {name: asked * (1 - worth) for name, asked, worth in rows}
    total = sum(lost.values()) or 1
    return {name: value / total for name, value in lost.items()}


def causes_of(second, what):
    names = [name for begin, end, name in what if begin < second + 2 and end > second]
    return ", ".join(dict.fromkeys(names)) or "nothing"


def print_rows(loss, rows, what):
    rest = loss
    for second, share in shares(rows).items():
        worth = next(worth for name, _, worth in rows if name == second)
        if 1 - worth >= NOTABLE:
            rest -= loss * share
            print(f"    {loss * share:7.4f}  {second:3d} s, worth {worth:.3f}: {causes_of(second, what)}")
    print(f"    {rest:7.4f}  all other rows")


def print_day(path):
    text = open(path).read()
    credit, worth = parts(text)
    what = disturbances(text)
    rows = rows_of(text)
    print(f"{path}: worth {worth:.3f}, lost {1 - worth:.3f}")
    for name, (part, weight) in credit.items():
        loss = weight * (1 - part)
        print(f"  {loss:7.4f}  {name} (weight {weight}, {part})")
        if name == "whole day":
            print_rows(loss, rows, what)
        title = {"worst class": "class", "worst zone": "clients' zone"}.get(name)
        for row in table(text, title) if title else []:
            print(f"             {row[0]}: worth {row[-3]}, not served {int(row[4]) + int(row[5])}, late {row[3]} of {row[1]}")
    charged = prices(text)
    print(f"  {sum(charged.values()):7.4f}  prices: " + ", ".join(f"{name} {price:.4f}" for name, price in sorted(charged.items(), key=lambda one: -one[1])))


if __name__ == "__main__":
    for path in sys.argv[1:]:
        print_day(path)
