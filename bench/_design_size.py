"""Size of the deployment that the system is designed for."""

HOSTS = 390
RUNNERS = 1_900
ACCELERATORS = 15_000
REQUESTS_PER_S = 15_000
TOKENS_PER_S = 4_500_000
PROGRAMS = 580_000
LONGEST_TOKENS = 280_000
TEAMS = 5_100
MODELS = 8
REGIONS = 3
DATA_CENTRES = 9
CHANGES_PER_DAY = 2_100
FAILURES_PER_DAY = 12
REPLACEMENTS_PER_DAY = 500
DAY_S = 86_400

# Limits for the control plane: per host, and for all calls on the platform's store.
CONTROL_CORE_SHARE = 0.029
CONTROL_MEMORY_BYTES = 32_000_000
CONTROL_BYTES_PER_S = 4_000
STORE_WRITES_PER_S = 300
STORE_READS_PER_S = 2_000

# Mean size of a program in the present traces.
MEAN_HISTORY_TOKENS = 8_000
BYTES_PER_TOKEN = 4
MEAN_TURNS = 8
TURN_TOKENS = 700
TURN_S = 5.0
# Teams whose requests reach one host within a few seconds.
ACTIVE_TEAMS_ON_HOST = 300
# Hosts in one rack.
RACK_HOSTS = 10
