#!/usr/bin/env python3
"""Generates the table of settings: gen_settings.py SCHEMA OUT.c

The header is written next to OUT.c.  A field of a team whose name could also be
the name of a child team is rejected, because the settings tree could not
distinguish them.
"""
import json
import os
import sys

BRANCHES = ("cell", "team", "key")


def quoted(text):
    return json.dumps(text)


def check(schema):
    for name in schema["team"]:
        if "_" not in name and name not in schema["reserved"]:
            sys.exit(f"team field {name}: no underscore and not reserved")


def header(schema):
    out = ["/* Written by tools/gen_settings.py; do not edit. */", "",
           "#ifndef OGL_SETTINGS_TABLE_H", "#define OGL_SETTINGS_TABLE_H", "",
           "#include <stddef.h>", "",
           "enum ogl_setting_type {", "\tOGL_SETTING_INTEGER,",
           "\tOGL_SETTING_NUMBER,", "\tOGL_SETTING_LIMIT,",
           "\tOGL_SETTING_HASH,", "\tOGL_SETTING_TEAM", "};", "",
           "/* One field that the settings tree allows. */",
           "struct ogl_setting {", "\tconst char *name;",
           "\tenum ogl_setting_type type;", "\tdouble min;", "\tdouble max;",
           "\tconst char *preset; /* JSON; NULL: must be set */",
           "\tconst char *doc;", "};", ""]
    for branch in BRANCHES:
        up = branch.upper()
        out.append(f"enum ogl_{branch}_setting {{")
        out += [f"\tOGL_{up}_{n.upper()}," for n in schema[branch]]
        out += [f"\tOGL_{up}_SETTINGS", "};", "extern const struct ogl_setting"
                f" ogl_{branch}_settings[OGL_{up}_SETTINGS];", ""]
    return out + ["#endif"]


def row(name, field):
    preset = field.get("default")
    text = "NULL" if preset is None else quoted(json.dumps(preset))
    return (f"\t{{{quoted(name)}, OGL_SETTING_{field['type'].upper()},\n"
            f"\t    {field.get('min', 0)}, {field.get('max', 0)}, {text},\n"
            f"\t    {quoted(field['doc'])}}},")


def source(schema, name):
    out = ["/* Written by tools/gen_settings.py; do not edit. */", "",
           f'#include "{name}"']
    for branch in BRANCHES:
        out += ["", f"const struct ogl_setting ogl_{branch}_settings"
                f"[OGL_{branch.upper()}_SETTINGS] = {{"]
        out += [row(n, f) for n, f in schema[branch].items()]
        out.append("};")
    return out


def main():
    if len(sys.argv) != 3:
        sys.exit(__doc__)
    with open(sys.argv[1], encoding="utf-8") as f:
        schema = json.load(f)
    check(schema)
    head = os.path.splitext(sys.argv[2])[0] + ".h"
    for path, lines in ((head, header(schema)),
                        (sys.argv[2], source(schema, os.path.basename(head)))):
        with open(path, "w", encoding="utf-8") as f:
            f.write("\n".join(lines) + "\n")


main()
