"""Lines about servers that said in their answers what closes them."""

from __future__ import annotations

from ramppin.gateway.process.context import GatewayContext


def note_words(context: GatewayContext, now: float) -> None:
    """Write what servers said since the last call.

    Args:
        context: has the servers, and takes the lines.
        now: the loop's time.
    """
    for change in context.directory.take_word_changes():
        word = change.words.leaving
        if word is None:
            continue
        state = context.directory.find(change.server_id)
        context.metrics.server_words.inc("leaving", word.source.value)
        context.decisions.note(
            "server_closed",
            server=state.server.name if state else change.server_id,
            service=state.server.service if state else "",
            word="leaving",
            source=word.source.value,
            age_s=round(now - word.heard_at, 2),
            version=context.version,
        )
