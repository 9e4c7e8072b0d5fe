"""The request filter that enforces the rates of organisations."""

from ibisknot import distribution
from ibisknot import exchange as exchange_module
from ibisknot import rates
from ibisknot import rates_runner


def allowance(
    source: distribution.LocalConfiguration, organisation: str
) -> rates.Allowance | None:
    """Returns an organisation's rate and burst in force on this VM.

    Args:
        source: The configuration in force.
        organisation: Name of the organisation.

    Returns:
        The allowance, or None if the organisation is not configured.
    """
    settings = source.current.organisations.get(organisation)
    if settings is None:
        return None
    return rates.Allowance(rate=settings.rate_per_s, burst=settings.burst)


def limit_rate(runner: rates_runner.Runner) -> exchange_module.Filter:
    """Returns the filter that consumes a token for each request.

    Requests beyond the rate fail with a RateLimitError.
    """

    async def run(
        exchange: exchange_module.Exchange, following: exchange_module.Handler
    ) -> exchange_module.Reply:
        await runner.admit(exchange.organisation)
        return await following(exchange)

    return run
