"""Runs the worlds of a what-if question: without the change, and with it."""

from __future__ import annotations

import gc
import multiprocessing
import time
from concurrent.futures import ProcessPoolExecutor

import attrs

from zincvale.simulator.what_if.figures import WorldFigures
from zincvale.simulator.what_if.inputs import WhatIfInputs
from zincvale.simulator.what_if.machines import Question
from zincvale.simulator.what_if.report import Comparison
from zincvale.simulator.what_if.run import VirtualFleet

LONG_RUN_S = 600.0
"""From this length of load on, a second process is worth its start."""
COLLECT_AFTER_OBJECTS = 200_000


@attrs.frozen
class World:
    """What one world came to."""

    figures: WorldFigures
    refused_changes: tuple[str, ...]


def compare(inputs: WhatIfInputs, jobs: int = 1) -> Comparison:
    """Run the world without the change, and the one with it where there is a change."""
    begun = time.perf_counter()
    questions = [attrs.evolve(inputs.question, change=())]
    if inputs.question.change:
        questions.append(inputs.question)
    if jobs > 1 and len(questions) > 1 and inputs.question.seconds >= LONG_RUN_S:
        worlds = _run_side_by_side(questions)
    else:
        worlds = [run_world(question) for question in questions]
    return Comparison(
        inputs=inputs,
        before=worlds[0].figures,
        after=worlds[1].figures if len(worlds) > 1 else None,
        wall_s=time.perf_counter() - begun,
        refused_changes=worlds[-1].refused_changes,
    )


def run_world(question: Question) -> World:
    """Run one world; the same question gives the same figures, wall time aside."""
    thresholds = gc.get_threshold()
    # Few of the model's objects are in cycles: look for them rarely.
    gc.set_threshold(COLLECT_AFTER_OBJECTS, *thresholds[1:])
    try:
        fleet = VirtualFleet(question)
        figures = fleet.run()
    finally:
        gc.set_threshold(*thresholds)
    return World(figures, tuple(fleet.refused_changes))


def _run_side_by_side(questions: list[Question]) -> list[World]:
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(len(questions), mp_context=context) as pool:
        return list(pool.map(run_world, questions))
