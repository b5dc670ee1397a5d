"""Faults scripted from a seed, played on the virtual clock; a failing script is shrunk to fewer faults."""

from onyxpost.lab.seeds.many import line as line
from onyxpost.lab.seeds.many import many as many
from onyxpost.lab.seeds.many import part as part
from onyxpost.lab.seeds.many import shrunk as shrunk
from onyxpost.lab.seeds.many import timed as timed
from onyxpost.lab.seeds.play import Outcome as Outcome
from onyxpost.lab.seeds.play import play as play
from onyxpost.lab.seeds.script import Fault as Fault
from onyxpost.lab.seeds.script import drawn as drawn
from onyxpost.lab.seeds.script import script as script
