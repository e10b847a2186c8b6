#!/usr/bin/env python3
"""Says what the journal tells of days: broken rules, faults, exits, worst windows.

usage: rules.py JOURNAL_ENTRY.json ...

One line for each day; a last one with the numbers of days and of those on which a
rule was broken, a fault occurred or a process ended by itself.
"""
import json
import sys

WINDOWS, SERVED = "worst windows", "served"


def problems(day):
    """Returns what spoils the day, in the bench's words."""
    exits = dict((name, cost) for name, _, cost in day["prices"]).get("exits of its own", 0)
    found = [f"rule {rule}: {count}" for rule, count in day["rules"].items()]
    if day["fault"]:
        found.append(f"fault {day['fault']}")
    if exits:
        found.append("a process ended by itself")
    return found


def main():
    days = spoilt = 0
    for path in sys.argv[1:]:
        with open(path) as entry:
            content = json.load(entry)
        for day in content.get("days") or []:
            days += 1
            found = problems(day)
            spoilt += bool(found)
            windows = dict((name, value) for name, _, value in day["parts"]).get(WINDOWS)
            print(f"{content['site']} | {day['name']} | worth {day['G']} | served {day[SERVED]} | {WINDOWS} {windows} | {'; '.join(found) or 'no rule broken'}")
    print(f"{days} days, {spoilt} with a broken rule, a fault or an exit")


main()
