import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from magnoliaroad.config import RouteKind
from magnoliaroad.sheet import SheetError, read_sheet

D1, D2 = "1" * 64, "2" * 64
HEADER = (
    "kind,name,team,rate,burst,weight,budget,route_kind,open,repeatable,"
    "route,url,data_centre,fenced,draining,digest,note"
)
ROWS = f"""team,arcades,,2.5,10,,,,,,,,,,,,
team,sokol,,1,3,2,5000,,,,,,,,,,students
key,till,arcades,,,,,,,,,,,,,{D1},

route,planner,arcades sokol,,,,,engine,,,,,,,,,
route,payouts,*,,,,,service,,no,,,,,,,
target,engine-1,,,,,,,,,planner,http://10.0.0.1:8000,kolkata-1,yes,,,
target,pay-1,,,,,,,,,payouts,http://10.0.0.2:80/,kolkata-2,,yes,,
"""
SHEET = f"{HEADER}\n{ROWS}"


def faults(text, encoding="utf-8"):
    data = text if isinstance(text, bytes) else text.encode(encoding)
    with pytest.raises(SheetError) as caught:
        read_sheet(data)
    return [(fault.row, fault.column, fault.value) for fault in caught.value.faults]


def read_or_faults(data):
    try:
        return read_sheet(data)
    except SheetError as exc:
        return exc.faults


def test_items_and_their_rows():
    sheet = read_sheet(SHEET.encode())
    config = sheet.config
    assert config.teams["arcades"].rate == 2.5
    assert config.teams["sokol"].program_budget == 5000
    assert config.grants[D1].key_id == "till"
    assert config.routes["planner"].teams == ("arcades", "sokol")
    assert config.routes["payouts"].kind is RouteKind.SERVICE
    assert not config.routes["payouts"].repeatable
    assert config.routes["payouts"].allows("sokol")
    assert not config.routes["payouts"].allows("")
    assert not config.routes["planner"].allows("ghosts")
    assert config.targets["engine-1"].fenced
    assert config.targets["pay-1"].draining
    assert config.targets["pay-1"].url == "http://10.0.0.2:80"
    assert sheet.rows["route planner"] == 6


@pytest.mark.parametrize("bom", ["", "\ufeff"])
@pytest.mark.parametrize("end", ["\n", "\r\n"])
@pytest.mark.parametrize("quoted", [False, True])
@pytest.mark.parametrize("delimiter", [",", ";"])
def test_csv_dialects_of_spreadsheets(bom, end, quoted, delimiter):
    lines = SHEET.splitlines()
    if delimiter == ";":
        lines = [line.replace(",", ";").replace("2.5", "2,5") for line in lines]
    if quoted:
        lines = [
            delimiter.join(f'"{cell}"' for cell in line.split(delimiter))
            for line in lines
        ]
    blank = delimiter * HEADER.count(",")
    text = bom + end.join([*lines, "", blank])
    assert read_sheet(text.encode()) == read_sheet(SHEET.encode())


def test_all_faults_are_listed_at_once():
    rows = f"""team,a b,,fast,1,,1.5,,,,,,,,,,
team,arcades,,1,-1,,,,,,,,,,,,
team,arcades,,1,1,,,,,,,,,,,,
key,till,nobody,,,,,,,,,,,,,{D1},
key,desk,arcades,,,,,,,,,,,,,{D1},
key,bad,arcades,,,,,,,,,,,,,xyz,
route,planner,arcades ghosts,,,,,motor,maybe,,,,,,,,
target,t,,9,,,,,,,nowhere,ftp://host,,perhaps,,,
queue,q,,,,,,,,,,,,,,,
key,star,*,,,,,,,,,,,,,{D2},
team,long,,1,1,,,,,,,,,,,,,beyond
"""
    assert faults(f"{HEADER}\n{rows}") == [
        (2, "budget", "1.5"),
        (2, "name", "a b"),
        (2, "rate", "fast"),
        (3, "burst", "-1"),
        (4, "name", "arcades"),
        (5, "team", "nobody"),
        (6, "digest", D1),
        (7, "digest", "xyz"),
        (8, "open", "maybe"),
        (8, "route_kind", "motor"),
        (8, "team", "arcades ghosts"),
        (9, "data_centre", ""),
        (9, "fenced", "perhaps"),
        (9, "rate", "9"),
        (9, "route", "nowhere"),
        (9, "url", "ftp://host"),
        (10, "kind", "queue"),
        (11, "team", "*"),
        (11, "team", "*"),
        (12, "", "beyond"),
    ]


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("", [(1, "", "")]),
        ("kind,name\n", [(2, "", "")]),
        ("kind,name,colour\nteam,a,red\n", "burst colour rate"),
        ("kind,kind,name,rate,burst\nteam,team,a,1,1\n", "kind"),
        ("name,rate,burst\na,1,1\n", "kind"),
        (SHEET.encode("utf-16"), [(1, "", "ff")]),
        (SHEET.replace("students", "café").encode("latin-1"), [(3, "", "e9")]),
        (SHEET + '"open quote\n', [(10, "", "")]),
    ],
)
def test_malformed_sheets_are_refused(text, expected):
    found = faults(text)
    if isinstance(expected, str):
        expected = [(1, column, column) for column in expected.split()]
    assert found == expected


@pytest.mark.parametrize(
    "url",
    ["", "10.0.0.1", "http://localhost:1", "http://10.0.0.1:99999", "http://x@1.1.1.1"],
)
def test_urls_must_be_base_urls_with_an_ip_address(url):
    sheet = SHEET.replace("http://10.0.0.1:8000", url)
    assert faults(sheet) == [(8, "url", url)]


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.binary(max_size=200) | st.text(max_size=200).map(str.encode))
def test_any_bytes_give_a_sheet_or_faults(data):
    assert read_or_faults(data)


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.data())
def test_any_cell_gives_a_sheet_or_faults(data):
    lines = SHEET.splitlines()
    row = data.draw(st.integers(0, len(lines) - 1))
    cells = lines[row].split(",")
    cells[data.draw(st.integers(0, len(cells) - 1))] = data.draw(st.text(max_size=8))
    lines[row] = ",".join(cells)
    assert read_or_faults("\n".join(lines).encode())
